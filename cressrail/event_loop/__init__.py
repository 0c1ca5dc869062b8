"""The project's scheduler: greenlet over select.poll, with timers and the clock."""

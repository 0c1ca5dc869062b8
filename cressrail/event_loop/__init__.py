"""The event loop: tasks on greenlets, one `select.poll` a round, timers and the clock.

Called by `network`, whose tasks block in `Scheduler.wait` alone. Imports no other package.
"""

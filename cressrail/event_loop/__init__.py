"""The event loop: a scheduler for tasks on greenlets, with one `select.poll` per round, and the clock.

The tasks of `network` run on it and block only in `Scheduler.wait`. This package imports no other package of
the project.
"""

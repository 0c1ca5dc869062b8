"""The log of a sidecar: one JSON object a line and event, on standard output.

Called by `network`. The names of events and of their fields are declared where the events are made. Imports
no other package.
"""

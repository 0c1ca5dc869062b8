"""An open-loop load generator that draws its arrival schedule before the run, and the figures of its runs.

`cli` calls it for `cressrail load`, and so does `experiment`; `testbed` shares the settings in `plan`. The
package imports `http_testing` for the client side of HTTP and `logs` for the names of events in a sidecar's
log.
"""

"""Reads the configuration of one sidecar and builds the policy from it.

Used by the sub-commands, by `network` at start and on SIGHUP, and by the simulator's adapter (`wirehost`),
which has the settings as path=value pairs. May import `policy`, `discovery` and the settings types of
`membership` and `failover`; opens no socket. `setting_names` maps the names of the settings to the terms of
the code; `settings_reader` converts and checks single values; `policy_factory` builds the policy; `startup`
reads the whole file, using `membership` and `failover` for the optional sections.
"""

"""The wire of the simulator: a codec and a host of instances. Nothing is decided here."""

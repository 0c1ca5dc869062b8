"""Golden tests: recorded bytes of every protocol, which no change may alter unnoticed."""

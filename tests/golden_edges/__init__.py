"""Golden tests of what the program sends, prints and reads, each compared with a stored file."""

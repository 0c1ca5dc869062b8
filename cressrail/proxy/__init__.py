"""The reducer: what happens goes in, what is to be done comes out. It alone calls the module."""

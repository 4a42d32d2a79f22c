"""Client library and command line for callers and operators."""

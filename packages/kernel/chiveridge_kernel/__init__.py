"""Decisions of the dispatcher: typed events in, typed actions out, no I/O."""

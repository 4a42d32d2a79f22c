"""Runs the command as ``python -m chiveridge_client``."""

from chiveridge_client import mains

if __name__ == "__main__":
    mains.run()

"""Load the project's pytest plug-ins, which live in ``tests/plugins``."""

pytest_plugins = ("known_failures", "proofs")

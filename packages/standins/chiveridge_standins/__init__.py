"""Stand-ins for the platform and the targets; never imported by the product."""

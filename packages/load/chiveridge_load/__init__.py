"""Load generation, reports and benchmarks."""

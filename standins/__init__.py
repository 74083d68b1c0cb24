"""Simulated targets, workers, callers and links for tests and benches."""

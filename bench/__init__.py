"""Benchmarks, capacity measurements and fault-injection tools."""

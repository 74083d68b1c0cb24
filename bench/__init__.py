"""Measurements: the decisions alone, whole cells, slopes and chaos."""

"""Tests of daisygw."""

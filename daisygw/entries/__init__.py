"""Entries: the process between callers and the schedulers."""

from daisygw.entries._process import run_entry

__all__ = ('run_entry',)

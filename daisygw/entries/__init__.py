"""The entry process, which accepts requests and sends them to schedulers."""

from daisygw.entries._process import run_entry

__all__ = ('run_entry',)

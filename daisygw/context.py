"""Standard streams and environment of one command invocation."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import BinaryIO, TextIO


@dataclass(frozen=True, slots=True)
class Context:
    """Streams and environment variables that a command uses."""

    stdin: BinaryIO = field(default_factory=lambda: sys.stdin.buffer)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    env: Mapping[str, str] = field(default_factory=lambda: os.environ)


def write_bytes(ctx: Context, content: bytes) -> None:
    """Write bytes to standard output unchanged.

    A text stream without a byte buffer gets them decoded as UTF-8.
    """
    ctx.stdout.flush()
    binary = getattr(ctx.stdout, 'buffer', None)
    if binary is None:
        ctx.stdout.write(content.decode('utf-8', 'replace'))
        return
    binary.write(content)
    binary.flush()


def write_line(ctx: Context, text: str) -> None:
    """Write one line to standard output."""
    ctx.stdout.write(f'{text}\n')


def write_error(ctx: Context, text: str) -> None:
    """Write one line to standard error."""
    ctx.stderr.write(f'{text}\n')

"""Steps that write, damage and read back a journal's files."""

import asyncio
import os
import resource
import subprocess  # noqa: S404  a scheduler under a limit on file size
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from types import MappingProxyType
from unittest import mock

from behave import fixture, given, then, use_fixture, when

from daisygw.contracts import JournalError, SchedulerList
from daisygw.links import journal_files
from daisygw.links.processes import Link, Transport
from daisygw.nodes import NodeSettings, SchedulerNode
from daisygw.nodes._replica_store import open_replica
from daisygw.nodes._scheduler import _on_message as on_message
from daisygw.nodes._scheduler import run_turn
from daisygw.zones import (
    FormGroup,
    Hello,
    LogEntry,
    Members,
    Persist,
    Replica,
    SnapshotTaken,
    Timing,
    drain,
    last_index,
    receive,
    restore_replica,
)
from standins.cell import (
    LOOPBACK,
    CellPlan,
    HostPlan,
    RunningCell,
    free_ports,
    write_settings,
)

_MEMBERS = Members(('a#1', 'b#1', 't#1'))
_BODY = b'x' * 50
_DISK_FULL_TIMEOUT_S = 60
_SECTOR_BYTES = 512


@fixture
def folder(context):
    """Yield a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def _entries(first, last, term=3):
    return tuple(
        LogEntry(index, term, _BODY) for index in range(first, last + 1)
    )


@given('a journal with {entries:d} entries in {saves:d} saves')
def write_journal(context, entries, saves):
    """Write the entries in equal saves."""
    context.folder = use_fixture(folder, context) / 'santander'
    journal = journal_files.create(context.folder, 'a#1')
    per_save = entries // saves
    for number in range(saves):
        first = number * per_save + 1
        batch = _entries(first, first + per_save - 1)
        journal_files.save(journal, Persist(3, 'b#1', _MEMBERS, batch))
    context.journal = journal
    context.log = context.folder / 'log'


@when('the file loses its last {count:d} bytes')
def truncate(context, count):
    """Truncate the log file."""
    content = context.log.read_bytes()
    context.log.write_bytes(content[:-count])


_FLIP_OFFSETS = MappingProxyType({
    'in the middle': lambda size: size // 2,
    'in the last record': lambda size: size - 5,
    "in a record's length": lambda size: 1,
})


@when('a bit is flipped {where}')
def flip(context, where):
    """Flip one bit of the log file."""
    content = bytearray(context.log.read_bytes())
    content[_FLIP_OFFSETS[where](len(content))] ^= 4
    context.log.write_bytes(content)


@when('a snapshot is saved up to entry {index:d}')
def save_snapshot(context, index):
    """Save a snapshot together with the entries after it."""
    taken = SnapshotTaken(index, 3, _MEMBERS, b'state')
    after = _entries(index + 1, 20)
    persist = Persist(3, 'b#1', _MEMBERS, after, 0, taken)
    journal_files.save(context.journal, persist)
    context.snapshot = taken


@when('the entries from {first:d} on are replaced by {count:d} others')
def replace_entries(context, first, count):
    """Save entries of a later term that replace all from this index on."""
    others = _entries(first, first + count - 1, 4)
    persist = Persist(4, 'b#1', _MEMBERS, others, first)
    journal_files.save(context.journal, persist)


def _load(context):
    journal, saved = journal_files.load(context.folder)
    journal_files.close(journal)
    return saved


@then('{count:d} entries, the term and the vote are read again')
def check_read(context, count):
    """Load the journal as a starting process does."""
    saved = _load(context)
    indexes = [entry.index for entry in saved.entries]
    assert indexes == list(range(1, count + 1)), indexes
    assert saved.vote == 'b#1' and saved.term >= 3
    assert saved.members == _MEMBERS


@then('the file ends with a complete record')
def check_truncation(context):
    """Load the journal again, which must not truncate it any further."""
    size = context.log.stat().st_size
    _load(context)
    assert context.log.stat().st_size == size


@then('reading ends with code {code:d}, and the next start finds no journal')
def check_damage(context, code):
    """Check that the damaged files are renamed and the journal is absent."""
    try:
        _load(context)
    except JournalError as exc:
        assert exc.code == code, exc
    else:
        raise AssertionError('the damage was not detected')
    assert journal_files.load(context.folder) is None
    damaged_folder = context.folder.with_name('santander.damaged-0')
    assert damaged_folder.exists()


@then('the snapshot and {count:d} entries are read again')
def check_snapshot(context, count):
    """Check the snapshot and the number of entries that were loaded."""
    saved = _load(context)
    assert saved.snapshot == context.snapshot
    assert len(saved.entries) == count


@given('a running scheduler whose disk takes no more than {size:d} bytes')
def run_full(context, size):
    """Run a scheduler with a file size limit that its journal almost fills."""
    root = use_fixture(folder, context)
    addresses = [f'{LOOPBACK}:{port}' for port in free_ports(2)]
    host = HostPlan('solo', 'norte', *addresses)
    cell = RunningCell(CellPlan('n', (host,)), root)
    write_settings(cell)
    journal_folder = root / 'data' / 'solo' / 'norte'
    journal = journal_files.create(journal_folder, 'solo#1')
    members = Members(('solo#1',))
    empty_save = Persist(1, 'solo#1', members, _entries(1, 2, 1)[:0])
    while (journal_folder / 'log').stat().st_size < size - 60:
        journal_files.save(journal, empty_save)
    journal_files.close(journal)
    context.done = subprocess.run(
        [
            sys.executable,
            '-m',
            'daisygw',
            'scheduler',
            f'--config={cell.base}',
            '--host=solo',
        ],
        capture_output=True,
        timeout=_DISK_FULL_TIMEOUT_S,
        check=False,
        preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_FSIZE,
            (size, size),
        ),
    )


@then('it ends with code {code:d} in its log')
def check_full(context, code):
    """Check that the process stopped when it could not write its journal."""
    assert context.done.returncode == 1, context.done
    assert f'"code": {code}' in context.done.stderr.decode(), context.done


@when(
    'the entries from {first:d} on are replaced by {count:d} others, all '
    'committed, and the save is torn at any byte',
)
def tear_replacement(context, first, count):
    """Restore a replica from each beginning of the save."""
    context.first = first
    before = context.log.read_bytes()
    last = first + count - 1
    others = _entries(first, last, 4)
    persist = Persist(4, 'b#1', _MEMBERS, others, first, commit=last)
    journal_files.save(context.journal, persist)
    after = context.log.read_bytes()
    context.replicas = []
    for end in range(len(before), len(after) + 1):
        context.log.write_bytes(after[:end])
        replica = Replica('g', 'a#1', (), Timing(), 1)
        restore_replica(replica, _load(context), 0)
        context.replicas.append(replica)


@then(
    'no restored replica has an entry of the old term among its committed ones',
)
def check_committed(context):
    """Compare the terms of the committed entries."""
    for replica in context.replicas:
        committed = replica.log[: replica.commit]
        replaced = [
            entry
            for entry in committed
            if entry.index >= context.first and entry.term == 3
        ]
        assert not replaced, (replica.commit, replaced)
    assert replica.commit == last_index(replica)


@when(
    'its last save was torn, it is opened, and the next save is torn at any '
    'byte',
)
def tear_twice(context):
    """Lay each beginning of the next save over the bytes that were synced."""
    context.log.write_bytes(context.log.read_bytes()[:-3])
    synced = [context.log.read_bytes()]

    def sync(descriptor):
        synced.append(context.log.read_bytes())

    with (
        mock.patch.object(os, 'fsync', sync),
        mock.patch.object(os, 'fdatasync', sync),
    ):
        journal, _ = journal_files.load(context.folder)
        at_open = synced[-1]
        start = journal.end
        others = _entries(20, 30)
        journal_files.save(journal, Persist(3, 'b#1', _MEMBERS, others))
    journal_files.close(journal)
    written = context.log.read_bytes()[start:]
    context.read = []
    for end in range(len(written) + 1):
        rest = at_open[start + end :]
        context.log.write_bytes(at_open[:start] + written[:end] + rest)
        context.read.append(len(_load(context).entries))


@then('{least:d} entries or more are read again each time')
def check_read_each_time(context, least):
    """Expect the entries of the complete saves."""
    assert min(context.read) >= least, min(context.read)


def _record_syncs(context, work):
    """Store the paths that were synced during some work, in order."""
    context.synced = []

    def sync(descriptor):
        path = Path(f'/proc/self/fd/{descriptor}').readlink()
        context.synced.append(path)

    with mock.patch.object(os, 'fsync', sync):
        work()


@when('another journal is created')
def create_another(context):
    """Create it beside the first one."""
    folder = context.folder.with_name('another')
    _record_syncs(context, lambda: journal_files.create(folder, 'a#2'))


@when('a damaged journal is set aside')
def set_aside(context):
    """Flip a bit, and load the journal."""
    flip(context, 'in the middle')

    def load():
        with suppress(JournalError):
            _load(context)

    _record_syncs(context, load)


@then('the folder that holds it was synced after that')
def check_parent_synced(context):
    """Look for the parent folder among the synced paths."""
    assert context.folder.parent in context.synced, context.synced


def _save_more(context, count):
    """Save entries; return the bytes of the log and where the save begins."""
    start = context.journal.end
    more = _entries(21, 20 + count)
    journal_files.save(context.journal, Persist(3, 'b#1', _MEMBERS, more))
    return context.log.read_bytes(), start


def _without_sector(content, number, start):
    """Return a log whose bytes of one sector read as zeros from a position."""
    first = max(number * _SECTOR_BYTES, start)
    last = min((number + 1) * _SECTOR_BYTES, len(content))
    return content[:first] + bytes(last - first) + content[last:]


@when(
    'a save of {count:d} entries follows, and any of its sectors reads as '
    'zeros',
)
def lose_sector_of_save(context, count):
    """Load the journal without each of the sectors of the save in turn."""
    content, start = _save_more(context, count)
    context.read = []
    for number in range(start // _SECTOR_BYTES, len(content) // _SECTOR_BYTES):
        context.log.write_bytes(_without_sector(content, number, start))
        context.read.append(len(_load(context).entries))
    assert len(context.read) > 10


@when(
    'a save of {count:d} entries follows, and the sector before it reads as '
    'zeros',
)
def lose_sector_before(context, count):
    """Replace a whole sector of the earlier saves."""
    content, start = _save_more(context, count)
    number = start // _SECTOR_BYTES - 1
    context.log.write_bytes(_without_sector(content, number, 0))


def _open_seed(context):
    """Open the replica of a seed whose settings are still those of the boot."""
    place = context.folder
    seeds = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
    cfg = NodeSettings('n', seeds[0], 'zone', 1, seeds, True, place, 4, 10)
    replica, context.journal = open_replica(cfg)
    return replica


@given('a seed that has started for the first time')
def start_seed(context):
    """Create its journal."""
    context.folder = use_fixture(folder, context)
    context.replica = _open_seed(context)
    assert context.replica.voter_hosts


@when('it is killed and started again')
def restart_seed(context):
    """Open the journal that it left."""
    journal_files.close(context.journal)
    context.name = context.replica.name
    context.replica = _open_seed(context)


@when('its group forms, and it is killed and started again')
def form_and_restart(context):
    """Save what the replica makes durable when the group forms."""
    replica = context.replica
    members = Members((replica.name, '10.0.0.2#1', '10.0.0.3#1'))
    receive(replica, FormGroup(replica.group, 'b', replica.name, members), 1)
    persist = next(one for one in drain(replica) if isinstance(one, Persist))
    journal_files.save(context.journal, persist)
    restart_seed(context)


@then('it is the same replica, and it may form the group')
def check_may_form(context):
    """Expect its voter hosts."""
    assert context.replica.name == context.name
    assert len(context.replica.voter_hosts) == 3


@then('it is the same replica, and it may not form a group')
def check_may_not_form(context):
    """Expect no voter hosts, but the members of its group."""
    assert context.replica.name == context.name
    assert not context.replica.voter_hosts
    assert len(context.replica.members.voters) == 3


@when(
    'a vote is saved at the end of files of any length, and a bit of it is '
    'flipped',
)
def flip_in_last_save(context):
    """Vary the length by that of the entry before it."""
    context.read = []
    for length in range(_SECTOR_BYTES):
        folder = context.folder / str(length)
        journal = journal_files.create(folder, 'a#1')
        entry = LogEntry(1, 1, b'x' * length)
        for term, entries in ((1, (entry,)), (2, ())):
            vote = Persist(term, 'b#1', _MEMBERS, entries, 0, None, 0)
            journal_files.save(journal, vote)
        journal_files.close(journal)
        path = folder / 'log'
        stored = bytearray(path.read_bytes())
        stored[-8] ^= 1
        path.write_bytes(stored)
        with suppress(JournalError):
            _, restored = journal_files.load(folder)
            context.read.append((len(stored), restored.term))


@then('none of them is read again')
def check_none_read(context):
    """Expect no length (bytes) at which the save was dropped."""
    assert not context.read, context.read


@given('a scheduler whose only seed has no scheduler any more')
def scheduler_without_seed(context):
    """It has no journal, so it is in no group."""
    context.cfg = NodeSettings(
        'n', '10.9.0.1', 'd', 1, ('10.9.0.9',), False, None, 4, 8
    )


@when('another scheduler tells it the hosts of the group')
def tell_hosts(context):
    """Record the messages that its turns send."""
    context.sent = []

    async def act():
        node = SchedulerNode(context.cfg, None)
        node.transport = Transport(context.sent.append, context.sent.append)
        hosts = ('10.9.0.5', '10.9.0.6')
        on_message(node, Link(hosts[0]), SchedulerList(hosts, hosts[0], 3))
        for _ in range(3):
            run_turn(node)
            await asyncio.sleep(0.3)
        for task in node.peers.tasks.values():
            task.cancel()

    asyncio.run(act())


@then('it sends them join requests')
def check_join_requests(context):
    """Expect a hello to each of the hosts."""
    receivers = {one.to for one in context.sent if isinstance(one, Hello)}
    assert {'10.9.0.5', '10.9.0.6'} <= receivers, receivers

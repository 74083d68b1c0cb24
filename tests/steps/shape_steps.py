"""Steps that check the structure of the source code."""

import ast
from collections.abc import Iterator
from pathlib import Path

from behave import then

from tests.utils import ROOT

_PRODUCT = ROOT / 'daisygw'
_DECISION_PACKAGES = ('cell', 'contracts', 'machines', 'zones', 'report')
_ALLOWED_IMPORTS = frozenset({
    'ast',
    'collections',
    'contextlib',
    'dataclasses',
    'enum',
    'functools',
    'hdrh',
    'heapq',
    # Compares keys in a time that tells nothing about them; computes only.
    'hmac',
    'itertools',
    'math',
    'operator',
    'random',
    'sortedcontainers',
    'types',
    'typing',
    'daisygw',
})
_BANNED_NAMES = frozenset({
    'threading',
    'ThreadPoolExecutor',
    'ProcessPoolExecutor',
    'to_thread',
    'run_in_executor',
    'multiprocessing',
    'subprocess',
    'new_event_loop',
    'fork',
    'popen',
    'Popen',
    'system',
    'io_uring',
})
_PLATFORM_NAMES = (
    'fencingToken',
    'runNumber',
    'ackCursor',
    'deadlineMs',
    'maxPerServer',
    'longRunning',
    'fillCount',
    'memMb',
    'apiKeys',
    'maxCount',
    'pathPrefix',
    'perWorkerMs',
    'in_progress"',
)
_ENUM_BASES = frozenset({'IntEnum', 'StrEnum', 'Enum'})


def _trees(folder: Path) -> Iterator[tuple[Path, ast.Module]]:
    for path in sorted(folder.rglob('*.py')):
        yield path, ast.parse(path.read_text())


def _imports(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


@then('the decision packages import no I/O, encoding or clock')
def check_decisions(context):
    """Check the imports of every decision module against the allowed ones."""
    for package in _DECISION_PACKAGES:
        for path, tree in _trees(_PRODUCT / package):
            for name in _imports(tree):
                head = name.split('.')[0]
                assert head in _ALLOWED_IMPORTS, f'{path}: {name}'
                outside = (
                    'daisygw.links',
                    'daisygw.entries',
                    'daisygw.schedulers',
                    'daisygw.cli',
                    'daisygw.settings',
                    'daisygw.nodes',
                    'daisygw.platform',
                )
                assert not name.startswith(outside), f'{path}: {name}'


@then("no package imports another's private modules")
def check_private_imports(context):
    """Check for imports of a private module from another package."""
    for path, tree in _trees(_PRODUCT):
        own = f'daisygw.{path.parent.name}'
        for name in _imports(tree):
            parts = name.split('.')
            private = any(part.startswith('_') for part in parts[1:])
            if private and parts[0] == 'daisygw':
                assert name.startswith(own), f'{path}: {name}'


@then("the platform's field names occur in its own folder only")
def check_platform_names(context):
    """Check the strings and identifiers of all other folders for them."""
    for path, tree in _trees(_PRODUCT):
        if path.parent.name == 'platform':
            continue
        for node in ast.walk(tree):
            name = getattr(node, 'attr', getattr(node, 'id', ''))
            text = node.value if isinstance(node, ast.Constant) else name
            if isinstance(text, str):
                found = [one for one in _PLATFORM_NAMES if one in text]
                assert not found, f'{path}: {found}'


def _classes(tree: ast.Module) -> Iterator[ast.ClassDef]:
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            yield node


def _decorators(node: ast.ClassDef) -> list[str]:
    return [ast.unparse(one) for one in node.decorator_list]


@then('every data class of the product is frozen')
def check_frozen(context):
    """Check the decorators of every class."""
    for path, tree in _trees(_PRODUCT):
        for node in _classes(tree):
            for decorator in _decorators(node):
                if 'dataclass' in decorator:
                    assert 'frozen=True' in decorator, f'{path}: {node.name}'


@then('the product starts no thread, no second loop and no process')
def check_threads(context):
    """Check for identifiers and imports that would start one."""
    for path, tree in _trees(_PRODUCT):
        for node in ast.walk(tree):
            name = getattr(node, 'attr', getattr(node, 'id', ''))
            assert name not in _BANNED_NAMES, f'{path}: {name}'
        for name in _imports(tree):
            assert name.split('.')[0] not in _BANNED_NAMES, f'{path}: {name}'


def _holds_state(node: ast.ClassDef) -> bool:
    bases = {ast.unparse(base).split('.')[-1] for base in node.bases}
    if bases & _ENUM_BASES or any(
        'dataclass' in one for one in _decorators(node)
    ):
        return True
    methods = [one.name for one in node.body if hasattr(one, 'name')]
    return '__init__' in methods or bool(bases)


@then('every class of the product holds state or is an enumeration')
def check_classes(context):
    """Check for classes that only group functions."""
    for path, tree in _trees(_PRODUCT):
        for node in _classes(tree):
            assert _holds_state(node), f'{path}: {node.name}'


def _lines(*folders: str) -> int:
    paths = [
        path for folder in folders for path in (ROOT / folder).rglob('*.py')
    ]
    return sum(len(path.read_text().splitlines()) for path in paths)


@then('the tests are under a third of all code')
def check_share(context):
    """Compare the line counts of the tests and of all code."""
    tests = _lines('tests')
    code = _lines('daisygw', 'standins', 'bench')
    assert tests * 3 < code + tests, (tests, code)

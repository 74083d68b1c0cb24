"""Definitions of all commands: names, arguments, options and help."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Argument:
    """A positional argument."""

    name: str
    text: str
    optional: bool = False
    many: bool = False


@dataclass(frozen=True, slots=True)
class Option:
    """An option; a ``flag`` takes no value."""

    name: str
    text: str
    flag: bool = False
    many: bool = False


@dataclass(frozen=True, slots=True)
class CommandDefinition:
    """A command; ``run`` names the function (module:name) that does it."""

    name: str
    text: str
    run: str
    arguments: tuple[Argument, ...] = ()
    options: tuple[Option, ...] = ()


_BASE = Option('config', 'Base settings file (TOML)')
_OVERLAY = Option('overlay', 'Overlay of this site (TOML)')
_HOST = Option('host', 'Name of this host in the settings')
_METRICS = Option('metrics', 'Port at which it shows its metrics (9464)')
_PROCESS = (_BASE, _OVERLAY, _HOST)
_ENTRY = Option(
    'entry',
    'Address of an entry, IP:port (else $DAISYGW_ENTRY)',
)

COMMANDS = (
    CommandDefinition(
        'entry',
        'Run the entry process of a host',
        'daisygw.cli._processes:entry',
        options=_PROCESS,
    ),
    CommandDefinition(
        'scheduler',
        'Run the scheduler process of a host',
        'daisygw.cli._processes:scheduler',
        options=_PROCESS,
    ),
    CommandDefinition(
        'platform entry',
        "Run the entry process of a cell on the users' platform",
        'daisygw.cli._processes:platform_entry',
        options=(_METRICS,),
    ),
    CommandDefinition(
        'platform scheduler',
        "Run the scheduler process of a cell on the users' platform",
        'daisygw.cli._processes:platform_scheduler',
        options=(_METRICS,),
    ),
    CommandDefinition(
        'submit',
        'Submit a request and print its whole answer',
        'daisygw.cli._requests:submit',
        arguments=(Argument('body', 'File with the body, - for input', True),),
        options=(
            _ENTRY,
            Option('id', 'Id of the request; repeat it to send it again'),
            Option('team', 'Team that the work belongs to'),
            Option('kind', 'batch, gang or service'),
            Option('priority', 'urgent, normal or patient'),
            Option('count', 'Number of tasks'),
            Option('cpus', 'Thousandths of a core for each task'),
            Option('memory', 'MiB for each task'),
            Option('accelerators', 'Accelerators for each task'),
            Option('deadline', 'Seconds in which it must be started'),
            Option('run', 'Declared run time in seconds'),
            Option('work', 'Name of the sort of work'),
            Option('not-repeatable', 'Run it at most once', flag=True),
            Option('checkpoint', 'Its tasks can checkpoint', flag=True),
        ),
    ),
    CommandDefinition(
        'status',
        'Show what the replicated state says of a request',
        'daisygw.cli._requests:status',
        arguments=(Argument('id', 'Id of the request'),),
        options=(_ENTRY,),
    ),
    CommandDefinition(
        'cancel',
        'Cancel requests',
        'daisygw.cli._requests:cancel',
        arguments=(Argument('ids', 'Ids of the requests', many=True),),
        options=(_ENTRY,),
    ),
    CommandDefinition(
        'drain',
        'Close a target to new work, or open it again',
        'daisygw.cli._operations:drain',
        arguments=(Argument('target', 'Name of the target'),),
        options=(_ENTRY, Option('open', 'Open it again', flag=True)),
    ),
    CommandDefinition(
        'targets',
        'List the targets of every failure domain',
        'daisygw.cli._operations:targets',
        options=(_ENTRY,),
    ),
    CommandDefinition(
        'report',
        'Print who waited, how full the hosts ran, what was refused',
        'daisygw.cli._operations:report',
        options=(_ENTRY, Option('json', 'Print it as JSON', flag=True)),
    ),
    CommandDefinition(
        'dump',
        "Print the state of a host's two processes as JSON",
        'daisygw.cli._operations:dump',
        options=(_ENTRY,),
    ),
    CommandDefinition(
        'config check',
        'Check settings files without using them',
        'daisygw.cli._configuration:check',
        options=(_BASE, _OVERLAY),
    ),
    CommandDefinition(
        'config apply',
        'Put a configuration in force at every site',
        'daisygw.cli._configuration:apply',
        options=(
            _ENTRY,
            _BASE,
            Option('overlay', 'SITE=FILE, once for each site', many=True),
            Option('expect', 'Version that this change builds on'),
            Option('change', 'Id of the change; repeat it to send it again'),
            Option('operator', 'Who asks for it'),
        ),
    ),
    CommandDefinition(
        'config show',
        'Print the configuration in force at an entry',
        'daisygw.cli._configuration:show_in_force',
        options=(_ENTRY,),
    ),
    CommandDefinition(
        'config history',
        'Print the newest accepted changes, the last one first',
        'daisygw.cli._configuration:show_history',
        options=(_ENTRY,),
    ),
)


def command_names() -> list[str]:
    """Return the names of all commands."""
    return [definition.name for definition in COMMANDS]

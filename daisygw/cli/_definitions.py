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


_BASE_OPTION = Option('config', 'Base settings file (TOML)')
_OVERLAY_OPTION = Option('overlay', 'Overlay of this site (TOML)')
_HOST_OPTION = Option('host', 'Name of this host in the settings')
_METRICS_OPTION = Option(
    'metrics', 'Port on which it serves its metrics (9464)'
)
_PROCESS_OPTIONS = (_BASE_OPTION, _OVERLAY_OPTION, _HOST_OPTION)
_ENTRY_OPTION = Option(
    'entry',
    'Address of an entry, IP:port (else $DAISYGW_ENTRY)',
)

COMMANDS = (
    CommandDefinition(
        'entry',
        'Run the entry process of a host',
        'daisygw.cli._processes:entry',
        options=_PROCESS_OPTIONS,
    ),
    CommandDefinition(
        'scheduler',
        'Run the scheduler process of a host',
        'daisygw.cli._processes:scheduler',
        options=_PROCESS_OPTIONS,
    ),
    CommandDefinition(
        'platform entry',
        "Run the entry process of a cell on the users' platform",
        'daisygw.cli._processes:platform_entry',
        options=(_METRICS_OPTION,),
    ),
    CommandDefinition(
        'platform scheduler',
        "Run the scheduler process of a cell on the users' platform",
        'daisygw.cli._processes:platform_scheduler',
        options=(_METRICS_OPTION,),
    ),
    CommandDefinition(
        'platform check-config',
        'Check a configuration before it is sent',
        'daisygw.cli._configuration:check_platform',
        arguments=(Argument('file', 'File with the JSON document'),),
        options=(
            Option(
                'against',
                'Version in force: control address of a scheduler, or a file',
            ),
            Option('format', 'text (the default) or json'),
        ),
    ),
    CommandDefinition(
        'submit',
        'Submit a request and print its whole answer',
        'daisygw.cli._requests:submit',
        arguments=(Argument('body', 'File with the body, - for input', True),),
        options=(
            _ENTRY_OPTION,
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
        'Show the status of a request',
        'daisygw.cli._requests:status',
        arguments=(Argument('id', 'Id of the request'),),
        options=(_ENTRY_OPTION,),
    ),
    CommandDefinition(
        'cancel',
        'Cancel requests',
        'daisygw.cli._requests:cancel',
        arguments=(Argument('ids', 'Ids of the requests', many=True),),
        options=(_ENTRY_OPTION,),
    ),
    CommandDefinition(
        'drain',
        'Close a target to new work, or open it again',
        'daisygw.cli._operations:drain',
        arguments=(Argument('target', 'Name of the target'),),
        options=(_ENTRY_OPTION, Option('open', 'Open it again', flag=True)),
    ),
    CommandDefinition(
        'targets',
        'List the targets of every failure domain',
        'daisygw.cli._operations:targets',
        options=(_ENTRY_OPTION,),
    ),
    CommandDefinition(
        'report',
        'Print who waited, how full the hosts ran, what was refused',
        'daisygw.cli._operations:report',
        options=(_ENTRY_OPTION, Option('json', 'Print it as JSON', flag=True)),
    ),
    CommandDefinition(
        'dump',
        "Print the state of a host's two processes as JSON",
        'daisygw.cli._operations:dump',
        options=(_ENTRY_OPTION,),
    ),
    CommandDefinition(
        'config check',
        'Check settings files without using them',
        'daisygw.cli._configuration:check',
        options=(_BASE_OPTION, _OVERLAY_OPTION),
    ),
    CommandDefinition(
        'config apply',
        'Put a configuration in force at every site',
        'daisygw.cli._configuration:apply',
        options=(
            _ENTRY_OPTION,
            _BASE_OPTION,
            Option('overlay', 'SITE=FILE, once for each site', many=True),
            Option('expect', 'Version that this change builds on'),
            Option('change', 'Id of the change; repeat it to send it again'),
            Option('operator', 'Who requests the change'),
        ),
    ),
    CommandDefinition(
        'config show',
        'Print the configuration in force at an entry',
        'daisygw.cli._configuration:show_in_force',
        options=(_ENTRY_OPTION,),
    ),
    CommandDefinition(
        'config history',
        'Print the latest accepted changes, newest first',
        'daisygw.cli._configuration:show_history',
        options=(_ENTRY_OPTION,),
    ),
)


def command_names() -> list[str]:
    """Return the names of all commands."""
    return [definition.name for definition in COMMANDS]

"""Ranges of the values in messages from outside the system.

They keep every accepted value storable (the log and the links hold integers
of 64 bits) and bound what one accepted message costs.  Each check raises
``ContractError`` with a code and a reason that names the value.
"""

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._errors import ContractError
from daisygw.contracts._jobs import (
    Advisor,
    CellConfig,
    Customer,
    JobSpec,
    Queue,
    Step,
)

# Versions, positions and times in ms: what a signed integer of 64 bits holds.
MAX_INTEGER = 9_223_372_036_854_775_807
# Millicores, MiB or accelerators of a task or a target.
MAX_AMOUNT = 10**9
# Tasks of a job in all its steps and occurrences.
MAX_TASKS = 10_000
# Tasks of a gang, which all start in one turn of the leader.
MAX_GANG_TASKS = 2_000
# Steps of a job; the leader visits all of them when one ends.
MAX_STEPS = 256
# Queues or services of a configuration.
MAX_QUEUES = 10_000
# Customers of a configuration.
MAX_CUSTOMERS = 10_000
# Keys of all customers together.
MAX_KEYS = 100_000
# Characters of a name: a host, a path prefix, a label.
MAX_NAME_CHARS = 256
# Durations: 366 days.
MAX_DURATION_S = 31_622_400.0
# Times since the Unix epoch, before or after: some thousand years.
MAX_TIME_S = 1e11
# Priorities, attempts and factors of a queue.
MAX_FACTOR = 10**6
_FIRST_PRINTABLE = ' '
# Length of a SHA-256 digest.
_DIGEST_BYTES = 32


def check_range(
    name: str,
    value: float,
    lowest: float,
    highest: float,
    code: ResultCode = ResultCode.BAD_SIZE,
) -> None:
    """Check that a number is from ``lowest`` to ``highest``; NaN is not."""
    if not lowest <= value <= highest:
        # The value is left out: an integer may be too long to print.
        raise ContractError(code, f'{name}: not from {lowest} to {highest}')


def check_text(
    name: str, text: str, code: ResultCode = ResultCode.BAD_VALUE
) -> None:
    """Check that a text is short and has no control characters."""
    if len(text) > MAX_NAME_CHARS:
        raise ContractError(
            code, f'{name}: more than {MAX_NAME_CHARS} characters'
        )
    if any(char < _FIRST_PRINTABLE for char in text):
        raise ContractError(code, f'{name}: has control characters')


def check_name(
    name: str, text: str, code: ResultCode = ResultCode.BAD_ID
) -> None:
    """Check that a name is printable ASCII without spaces and slashes."""
    check_text(name, text, code)
    printable = text.isascii() and text.isprintable()
    if not text or not printable or ' ' in text or '/' in text:
        raise ContractError(
            code, f'{name}: must be printable ASCII without spaces or "/"'
        )


def check_job(job: JobSpec) -> None:
    """Check the ranges of a job's values."""
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise ContractError(
            ResultCode.BAD_SIZE, f'steps: not from 1 to {MAX_STEPS}'
        )
    for number, step in enumerate(job.steps):
        _check_step(f'steps[{number}]', step)
        if any(not 0 <= other < number for other in step.after):
            raise ContractError(
                ResultCode.MALFORMED,
                f'steps[{number}]: depends on a step that is not earlier',
            )
    check_range('occurrences', job.repeats, 0, MAX_TASKS)
    tasks = sum(step.count for step in job.steps) * max(job.repeats, 1)
    check_range('tasks of the job', tasks, 1, MAX_TASKS)
    check_range('first due time', job.first_due, -MAX_TIME_S, MAX_TIME_S)
    check_range('interval', job.interval, 0, MAX_DURATION_S)


def _check_step(name: str, step: Step) -> None:
    most = MAX_GANG_TASKS if step.gang else MAX_TASKS
    check_range(f'{name}: count', step.count, 1, most)
    check_range(f'{name}: cpus', step.size.cpus, 0, MAX_AMOUNT)
    check_range(f'{name}: memory', step.size.memory, 0, MAX_AMOUNT)
    check_range(f'{name}: accelerators', step.size.accelerators, 0, MAX_AMOUNT)
    check_range(f'{name}: tasks on a target', step.spread, 0, MAX_AMOUNT)
    check_range(f'{name}: estimate', step.estimate, 0, MAX_DURATION_S)
    check_range(f'{name}: earlier steps', len(step.after), 0, MAX_STEPS)
    check_text(f'{name}: label', step.label)
    check_text(f'{name}: rack', step.data_rack)


def check_cell_config(cfg: CellConfig) -> None:
    """Check the ranges of a configuration's values."""
    invalid = ResultCode.CONFIG_INVALID
    check_range('version', cfg.version, 0, MAX_INTEGER, invalid)
    for name, amount, most in (
        ('body limit', cfg.max_body, MAX_INTEGER),
        ('header limit', cfg.max_header, MAX_INTEGER),
        ('header timeout', cfg.header_timeout, MAX_DURATION_S),
        ('idle timeout', cfg.idle_timeout, MAX_DURATION_S),
    ):
        check_range(name, amount, 0, most, invalid)
    check_range('queues', len(cfg.queues), 0, MAX_QUEUES, invalid)
    check_range('services', len(cfg.services), 0, MAX_QUEUES, invalid)
    for service in cfg.services:
        check_text('service', service, invalid)
    for queue in cfg.queues:
        _check_queue(queue)
    if cfg.customers is not None:
        _check_customers(cfg.customers)


def _check_customers(customers: tuple[Customer, ...]) -> None:
    """Check customers; no error contains a key or its digest."""
    invalid = ResultCode.CONFIG_INVALID
    check_range('customers', len(customers), 0, MAX_CUSTOMERS, invalid)
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for customer in customers:
        _check_customer(customer)
        if customer.name in names:
            reason = f'customer {customer.name}: the name is not unique'
            raise ContractError(invalid, reason)
        names.add(customer.name)
        for key in customer.keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                reason = f'customers {owner} and {customer.name}: same key'
                raise ContractError(invalid, reason)


def _check_customer(customer: Customer) -> None:
    invalid = ResultCode.CONFIG_INVALID
    check_text('customer', customer.name, invalid)
    if not customer.name:
        raise ContractError(invalid, 'customer: empty name')
    if any(len(key) != _DIGEST_BYTES for key in customer.keys):
        reason = f'customer {customer.name}: a key is not a SHA-256 digest'
        raise ContractError(invalid, reason)
    limit = customer.limit
    for name, number, lowest, highest in (
        ('weight', customer.weight, 0, MAX_FACTOR),
        ('priority', customer.priority, -MAX_FACTOR, MAX_FACTOR),
        ('limit of cpus', limit.cpus, 0, MAX_INTEGER),
        ('limit of memory', limit.memory, 0, MAX_INTEGER),
        ('limit of accelerators', limit.accelerators, 0, MAX_INTEGER),
    ):
        check_range(
            f'{customer.name}: {name}', number, lowest, highest, invalid
        )


def _check_queue(queue: Queue) -> None:
    invalid = ResultCode.CONFIG_INVALID
    for text in (queue.name, queue.host, queue.prefix, queue.service):
        check_text('queue', text, invalid)
    for name, number, lowest, highest in (
        ('timeout', queue.timeout, 0, MAX_DURATION_S),
        ('latency objective', queue.latency, 0, MAX_DURATION_S),
        ('priority', queue.priority, -MAX_FACTOR, MAX_FACTOR),
        ('attempts', queue.attempts, 0, MAX_FACTOR),
        ('slack', queue.slack, 0, MAX_FACTOR),
    ):
        check_range(f'{queue.name}: {name}', number, lowest, highest, invalid)
    if queue.advisor:
        _check_advisor(queue.name, queue.advisor)


def _check_advisor(queue: str, advisor: Advisor) -> None:
    for duration in (advisor.decision, advisor.per_target, advisor.validity):
        check_range(
            f'{queue}: advisor',
            duration,
            0,
            MAX_DURATION_S,
            ResultCode.CONFIG_INVALID,
        )

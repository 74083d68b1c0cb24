"""Steps that send what should be refused."""

import json

from behave import then, when

from standins.cell import call, fetch_json, wait_until
from tests.utils import code_of, daisygw, starts, submit

_BODY_LIMIT = 4_194_304
_REPORT_WAIT = 10


def _entry(context):
    return context.cell.plan.hosts[0].entry


@when('the contract {contract} is submitted')
def submit_contract(context, contract):
    """Submit it, after noting what had started."""
    context.before = starts(context.cell)
    context.reply = submit(_entry(context), contract)


@when('a contract with an id of 129 characters is submitted')
def submit_long_id(context):
    """Submit an over-long id."""
    contract = {'team': 'patio', 'id': 'x' * 129}
    context.reply = submit(_entry(context), contract)


@when('a contract with a body past the limit is submitted')
def submit_large(context):
    """Submit an over-large body."""
    context.before = starts(context.cell)
    body = b' ' * (_BODY_LIMIT + 1)
    context.reply = submit(_entry(context), {'team': 'patio'}, body)


@when('{contract} was submitted and answered')
def submit_answered(context, contract):
    """Submit it and see it answered."""
    assert code_of(submit(_entry(context), contract)) == 100


@when('a target announces {document}')
def announce(context, document):
    """Send a broken announcement."""
    context.reply = call(
        _entry(context),
        '/v1/targets/x/announcements',
        'POST',
        document.encode(),
    )


@when('another entry is started at the same port')
def start_twice(context):
    """Start the same entry a second time."""
    cell = context.cell
    host = cell.plan.hosts[0].name
    config = f'--config={cell.base}'
    context.done = daisygw('entry', config, f'--host={host}')


@then('it ends with status {status:d} and code {code:d}')
def check_ended(context, status, code):
    """Check the exit status and the numbered error."""
    assert context.done.returncode == status, context.done
    assert str(code).encode() in context.done.stderr, context.done


@then('the code is {code:d}')
def check_code(context, code):
    """Check the numbered code and that it has a reason."""
    document = json.loads(context.reply[1])
    assert document['code'] == code, context.reply
    assert document['reason'], context.reply


@then('nothing was started, and the entry still serves')
def check_nothing(context):
    """Check with the targets, and submit something sound."""
    assert starts(context.cell) == context.before
    assert code_of(submit(_entry(context), {'team': 'patio'})) == 100


@then('the report counts a refusal with code {code:d}')
def check_report(context, code):
    """Wait for the tally."""

    def counted() -> bool:
        report = fetch_json(_entry(context), '/v1/views/report')
        refusals = [
            one['code'] for view in report.values() for one in view['refusals']
        ]
        return code in refusals

    wait_until(counted, _REPORT_WAIT, 'a refusal in the report')

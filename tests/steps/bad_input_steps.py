"""Steps that send invalid input and check its rejection."""

import json

from behave import then, when

from standins.cell import call, fetch_json, wait_until
from tests.utils import code_of, daisygw, starts, submit

_BODY_LIMIT_BYTES = 4_194_304
_REPORT_TIMEOUT_S = 10


def _entry(context):
    return context.cell.plan.hosts[0].entry


@when('the contract {contract} is submitted')
def submit_contract(context, contract):
    """Submit the contract, and keep the target starts from before it."""
    context.starts_before = starts(context.cell)
    context.reply = submit(_entry(context), contract)


@when('a contract with an id of 129 characters is submitted')
def submit_long_id(context):
    """Submit a contract whose id is one character over the limit."""
    contract = {'team': 'patio', 'id': 'x' * 129}
    context.reply = submit(_entry(context), contract)


@when('a contract with a body over the limit is submitted')
def submit_large(context):
    """Submit a body that is one byte over the limit."""
    context.starts_before = starts(context.cell)
    body = b' ' * (_BODY_LIMIT_BYTES + 1)
    context.reply = submit(_entry(context), {'team': 'patio'}, body)


@when('{contract} was submitted and answered')
def submit_answered(context, contract):
    """Submit the contract and check that it is answered."""
    assert code_of(submit(_entry(context), contract)) == 100


@when('a target announces {document}')
def announce(context, document):
    """Send an invalid announcement to an entry."""
    context.reply = call(
        _entry(context),
        '/v1/targets/x/announcements',
        'POST',
        document.encode(),
    )


@when('another entry is started at the same port')
def start_twice(context):
    """Start the same entry a second time, on the port in use."""
    cell = context.cell
    host = cell.plan.hosts[0].name
    config = f'--config={cell.base}'
    context.done = daisygw('entry', config, f'--host={host}')


@then('it ends with status {status:d} and code {code:d}')
def check_ended(context, status, code):
    """Check the exit status and the error code."""
    assert context.done.returncode == status, context.done
    assert str(code).encode() in context.done.stderr, context.done


@then('the code is {code:d}')
def check_code(context, code):
    """Check the result code, and that the reply states a reason."""
    document = json.loads(context.reply[1])
    assert document['code'] == code, context.reply
    assert document['reason'], context.reply


@then('nothing was started, and the entry still serves')
def check_nothing(context):
    """Check the targets' starts, and that a valid contract is answered."""
    assert starts(context.cell) == context.starts_before
    assert code_of(submit(_entry(context), {'team': 'patio'})) == 100


@then('the report counts a refusal with code {code:d}')
def check_report(context, code):
    """Wait until the report lists a refusal with this code."""

    def counted() -> bool:
        report = fetch_json(_entry(context), '/v1/views/report')
        refusals = [
            one['code'] for view in report.values() for one in view['refusals']
        ]
        return code in refusals

    wait_until(counted, _REPORT_TIMEOUT_S, 'a refusal in the report')

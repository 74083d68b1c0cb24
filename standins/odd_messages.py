"""Messages as another writer may send them: odd values in valid documents."""

import json
from typing import Any

JOB_ID = f'{7:016x}'
# Occurs in all keys, so that one in a log or an error is found.
KEY_MARK = 'secret key'
# An integer that neither the log nor a link can hold.
WIDE_INTEGER = 2**70
# A valid heartbeat that a cell refuses because of its configuration.
UNKNOWN_SERVICE = 'an unknown service at its address'
# Levels of nesting far beyond what a decoder follows.
_DEPTH = 100_000


def nested(key: str) -> bytes:
    """Return a document whose field ``key`` is very deeply nested."""
    levels = b'[' * _DEPTH, b']' * _DEPTH
    return b'{"%b": %b%b}' % (key.encode(), *levels)


def job(**step: Any) -> dict[str, Any]:
    """Return a job of one step; ``step`` replaces fields of the step."""
    fields = {'count': 2, 'cpu': 1000, 'memMb': 100, 'gpu': 1}
    fields |= {'estimateMs': 300, 'maxPerServer': 1, 'dataRack': 'r1'}
    return {'spec': 'work', 'steps': [{**fields, **step}]}


def heartbeat(**more: Any) -> dict[str, Any]:
    """Return a worker's heartbeat; ``more`` replaces its fields."""
    fields = {
        'service': 'svc',
        'address': '127.0.20.99:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'capacity': {'cpu': 8000, 'memMb': 8000, 'gpu': 0},
        'labels': ['a', 'r1'],
        'clockMs': 1000,
        'born': 1_700_000_000_000,
        'sequence': 1,
    }
    return {**fields, **more}


def contradictions(
    name: str, address: str, born: int
) -> dict[str, tuple[str, dict[str, Any]]]:
    """Return heartbeats that contradict a sound worker's, with their names.

    ``born`` is a time after its start (ms since 1970).  Each is valid in
    itself; the first one names a service that is not configured.
    """
    known = {'address': address, 'born': born}
    return {
        UNKNOWN_SERVICE: ('i-odd', heartbeat(**known, service='odd')),
        'another name at its address': ('i-odd', heartbeat(**known)),
        'a later start at its address': (name, heartbeat(**known)),
        'a later start at another address': (name, heartbeat(born=born)),
    }


def config(version: int = 5, **route: Any) -> dict[str, Any]:
    """Return a configuration; ``route`` replaces fields of its only route."""
    fields = {
        'name': 'r-1',
        'host': 'jobs.example',
        'pathPrefix': '/q/',
        'timeoutMs': 3000,
        'targetLatencyMs': 1000,
        'priority': 0,
        'service': 'svc',
        'maxAttempts': 2,
        'slackFactor': 3.0,
        'placementAdvisor': {
            'decisionMs': 5.0,
            'perWorkerMs': 0.1,
            'validityMs': 1500,
        },
    }
    return {
        'version': version,
        'routes': [{**fields, **route}],
        'services': [{'name': 'svc'}],
        'limits': {'maxBodyBytes': 262144},
        'tenants': [tenant('acme'), tenant('beta', weight=0.5)],
    }


def tenant(name: str, **more: Any) -> dict[str, Any]:
    """Return a customer with two keys; ``more`` replaces its fields.

    Its limit and its rate are beyond what a test's cell reaches.
    """
    fields = {
        'name': name,
        'apiKeys': [f'{KEY_MARK} 1 of {name}', f'{KEY_MARK} 2 of {name}'],
        'weight': 1000,
        'priority': 1,
        'maxCount': {'cpu': 1_000_000, 'memMb': 0, 'gpu': 0},
    }
    return {**fields, **more}


def _tenants(*rows: Any) -> dict[str, Any]:
    return {**config(), 'tenants': list(rows)}


def renewal_reply(**more: Any) -> dict[str, Any]:
    """Return a worker's lists of runs; ``more`` replaces fields."""
    fields = {
        'clockMs': 1000,
        'born': 1_700_000_000_000,
        'active': [[f'{JOB_ID}.0.0.0', 1, '', 41, 900]],
        'finished': [[1, f'{JOB_ID}.0.0.1', 1, 'done', '']],
    }
    return {**fields, **more}


def advice() -> dict[str, Any]:
    """Return the approvals of the placement advisor."""
    return {'approved': [['i-1', 'ticket'], ['i-2', 'ticket']]}


def encode(document: Any) -> bytes:
    """Return a document as JSON, with half surrogate pairs as escapes."""
    return document if isinstance(document, bytes) else _dump(document)


def _dump(document: Any) -> bytes:
    return json.dumps(document).encode()


def _nested_row() -> bytes:
    """Return a list of runs whose row has more values, deeply nested."""
    row = b'["%b.0.0.0", 1, "", 41, %b' % (JOB_ID.encode(), b'[' * _DEPTH)
    return b'{"clockMs": 1, "born": 1, "active": [%b' % row


ODD_JOBS = {
    'cpu of 70 bits': job(cpu=WIDE_INTEGER),
    'memMb of 70 bits': job(memMb=WIDE_INTEGER),
    'gpu of 70 bits': job(gpu=WIDE_INTEGER),
    'count of 70 bits': job(count=WIDE_INTEGER),
    'maxPerServer of 70 bits': job(maxPerServer=WIDE_INTEGER),
    'negative maxPerServer': job(maxPerServer=-1),
    'repeatCount of 70 bits': {**job(), 'repeatCount': WIDE_INTEGER},
    'negative repeatCount': {**job(), 'repeatCount': -1},
    'dependsOn of 70 bits': job(dependsOn=[WIDE_INTEGER]),
    'an endless estimate': job(estimateMs=1e300),
    'a negative estimate': job(estimateMs=-1),
    'an endless interval': {**job(), 'intervalMs': 1e300},
    'a time out of range': {**job(), 'startAtMs': 1e300},
    '10 million tasks': job(count=10_000_000),
    '10 million occurrences': {**job(), 'repeatCount': 10_000_000},
    '10 thousand occurrences of 2 tasks': {**job(), 'repeatCount': 10_000},
    '300 steps': {'spec': '', 'steps': job()['steps'] * 300},
    'a label of 10000 characters': job(requiredLabel='x' * 10_000),
    'a rack with a line end': job(dataRack='r\n1'),
    'half a surrogate pair': job(dataRack='\ud800'),
    'deep nesting': nested('steps'),
    'deep nesting in an unknown field': nested('odd'),
}
ODD_CONFIGS = {
    'version of 70 bits': config(WIDE_INTEGER),
    'negative version': config(-1),
    'priority of 70 bits': config(priority=WIDE_INTEGER),
    'maxAttempts of 70 bits': config(maxAttempts=WIDE_INTEGER),
    'an endless timeout': config(timeoutMs=1e300),
    'a negative slackFactor': config(slackFactor=-1),
    'maxBodyBytes of 70 bits': {
        **config(),
        'limits': {'maxBodyBytes': WIDE_INTEGER},
    },
    'a host of 10000 characters': config(host='x' * 10_000),
    'an endless decision time': config(
        placementAdvisor={
            'decisionMs': 1e300,
            'perWorkerMs': 1,
            'validityMs': 1,
        }
    ),
    'half a surrogate pair': config(name='\ud800'),
    'two customers with a key': _tenants(
        tenant('acme', apiKeys=[KEY_MARK]), tenant('beta', apiKeys=[KEY_MARK])
    ),
    'two customers with a name': _tenants(
        tenant('acme'), tenant('acme', apiKeys=[])
    ),
    'an empty key': _tenants(tenant('acme', apiKeys=[KEY_MARK, ''])),
    'an empty name': _tenants(tenant('')),
    'a name with a line end': _tenants(tenant('a\n')),
    'no list of keys': _tenants({'name': 'acme'}),
    'a key that is a number': _tenants(tenant('acme', apiKeys=[KEY_MARK, 1])),
    'half a surrogate pair in a key': _tenants(
        tenant('acme', apiKeys=[f'{KEY_MARK}\ud800'])
    ),
    'a weight that is text': _tenants(tenant('acme', weight='much')),
    'a negative weight': _tenants(tenant('acme', weight=-1)),
    'an endless weight': _tenants(tenant('acme', weight=1e300)),
    'a priority of 70 bits': _tenants(tenant('acme', priority=WIDE_INTEGER)),
    'a negative limit': _tenants(tenant('acme', maxCount={'cpu': -1})),
    'a limit of 70 bits': _tenants(
        tenant('acme', maxCount={'memMb': WIDE_INTEGER})
    ),
    '200 thousand keys': _tenants(
        tenant('acme', apiKeys=list(map(str, range(200_000))))
    ),
    'deep nesting': nested('routes'),
    'deep nesting in an unknown field': nested('odd'),
}
ODD_HEARTBEATS = {
    'sequence of 70 bits': heartbeat(sequence=WIDE_INTEGER),
    'negative sequence': heartbeat(sequence=-1),
    'born of 70 bits': heartbeat(born=WIDE_INTEGER),
    'negative born': heartbeat(born=-WIDE_INTEGER),
    'cpu of 70 bits': heartbeat(capacity={'cpu': WIDE_INTEGER, 'memMb': 1}),
    'memMb of 70 bits': heartbeat(capacity={'cpu': 1, 'memMb': WIDE_INTEGER}),
    'gpu of 70 bits': heartbeat(
        capacity={'cpu': 1, 'memMb': 1, 'gpu': WIDE_INTEGER}
    ),
    'negative gpu': heartbeat(capacity={'cpu': 1, 'memMb': 1, 'gpu': -1}),
    'port 99999': heartbeat(address='127.0.20.99:99999'),
    'port -1': heartbeat(address='127.0.20.99:-1'),
    'port 0': heartbeat(address='127.0.20.99:0'),
    'no port': heartbeat(address='127.0.20.99'),
    'no host': heartbeat(address=':80'),
    'a path in its address': heartbeat(address='127.0.20.99:80/x'),
    'a line end in its address': heartbeat(address='127.0.20.99:80\n'),
    'a zone of 10000 characters': heartbeat(zone='z' * 10_000),
    'a label with a line end': heartbeat(labels=['a', 'r\r\n1']),
    'half a surrogate pair': heartbeat(zone='\ud800'),
    'deep nesting': nested('capacity'),
    'deep nesting in an unknown field': nested('odd'),
}
ODD_REPLIES = {
    'clockMs of 70 bits': renewal_reply(clockMs=WIDE_INTEGER),
    'born of 70 bits': renewal_reply(born=WIDE_INTEGER),
    'a run number of 70 bits': renewal_reply(
        active=[[f'{JOB_ID}.0.0.0', WIDE_INTEGER, '', 41]]
    ),
    'an index of 70 bits': renewal_reply(
        active=[[f'{JOB_ID}.0.0.{WIDE_INTEGER}', 1, '', 41]]
    ),
    'a position of 70 bits': renewal_reply(
        finished=[[WIDE_INTEGER, f'{JOB_ID}.0.0.0', 1, 'done', '']]
    ),
    'an unknown end': renewal_reply(
        finished=[[1, f'{JOB_ID}.0.0.0', 1, 'odd', '']]
    ),
    "an end of the system's own": renewal_reply(
        finished=[[1, f'{JOB_ID}.0.0.0', 1, 'refused', '']]
    ),
    'a row of another type': renewal_reply(active=[7]),
    'a row that is too short': renewal_reply(active=[['x']]),
    'deep nesting': nested('active'),
    'deep nesting in a row': _nested_row(),
    'deep nesting in an unknown field': nested('odd'),
}

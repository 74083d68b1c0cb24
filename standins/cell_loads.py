"""Load profiles of a cell, as the users specified them.

The advisors' figures are those of the configurations that operators send.
"""

from daisygw.contracts import Advisor
from standins.load_types import Burst, JobKind, Load, Surge

# How long the tickets of a placement advisor are valid.
_VALIDITY_S = 2.0
_OBRAPASE_VALIDITY_S = 1.5
_LATAS_RACK_SIZE = 8

LATAS = Load(
    (
        JobKind(
            'lote', 0.511, 1.2, 8, 5.3, 18_000, 68_000, 1, 2.2, 1, 1,
            13.1, 2.62, Advisor(0.768, 0.0069, _VALIDITY_S), 0.3, 4, 0.2,
        ),
        JobKind(
            'check', 1.92, 1.5, 10, 2.9, 3_900, 11_000, 0, 4, 3, 2,
            2.18, 0.436, Advisor(0.0992, 0.00088, _VALIDITY_S), 0.45, 3, 0.2,
        ),
        JobKind(
            'ok', 13.6, 1, 2, 0.85, 5_600, 11_000, 0.3, 1.5, 0.25, 0,
            0.432, 0.0864, Advisor(0.01392, 0.00012, _VALIDITY_S), 0.7, 2, 0.9,
        ),
    ),
    targets=24,
    rack=_LATAS_RACK_SIZE,
    callers=9,
    bursts=(Burst('ok', 9.8, 4, 2.1), Burst('lote', 18, 4, 1.5)),
)  # fmt: skip

LATAS_GROWN = Load(
    (
        JobKind(
            'lote', 1.68, 1.2, 20, 5.3, 18_000, 67_000, 1, 2.2, 1, 1,
            10.7, 2.14, Advisor(1.1232, 0.01001, _VALIDITY_S), 0.3, 4, 0.2,
        ),
        JobKind(
            'check', 3.48, 1.5, 25, 2.9, 6_900, 20_000, 0, 4, 3, 2,
            3.21, 0.642, Advisor(0.2496, 0.00234, _VALIDITY_S), 0.45, 3, 0.2,
        ),
        JobKind(
            'ok', 39, 1, 3.2, 0.85, 9_900, 20_000, 0.3, 1.5, 0.25, 0,
            0.402, 0.0804, Advisor(0.02288, 0.000208, _VALIDITY_S), 0.7, 2, 0.9,
        ),
    ),
    targets=176,
    rack=_LATAS_RACK_SIZE,
    callers=42,
    bursts=(Burst('ok', 9.8, 4, 2.1), Burst('lote', 18, 4, 1.5)),
)  # fmt: skip

OBRAPASE_GROWN = Load(
    (
        JobKind(
            'plan', 1.68, 1.2, 20, 5.3, 18_000, 67_000, 1, 2.2, 1, 1,
            15.8, 3.16, Advisor(1.1232, 0.01001, _OBRAPASE_VALIDITY_S),
            0.3, 3, 0.9,
        ),
        JobKind(
            'sweep', 3.47, 1.5, 25, 2.9, 6_900, 20_000, 0, 4, 3, 2,
            4.77, 0.954, Advisor(0.2496, 0.00234, _OBRAPASE_VALIDITY_S),
            0.45, 2, 0.9,
        ),
        JobKind(
            'stamp', 60.5, 1, 3.2, 0.54, 9_900, 20_000, 0.3, 1.5, 0.25, 0,
            0.383, 0.0766, Advisor(0.014976, 0.00013, _OBRAPASE_VALIDITY_S),
            0.7, 2, 0.5,
        ),
    ),
    targets=175,
    rack=20,
    callers=39,
    bursts=(Burst('stamp', 9.8, 4, 2.1), Burst('plan', 18, 4, 1.5)),
)  # fmt: skip

# More work than the cell has room for, half of it gangs of 20 wide tasks.
CUNA_GROWN = Load(
    (
        JobKind(
            'recall', 2.38, 1.2, 20, 5, 18_000, 67_000, 1, 2.2, 1, 1,
            8.62, 1.72, Advisor(0.92, 0.0078, _OBRAPASE_VALIDITY_S),
            0.33, 3, 0.3,
        ),
        JobKind(
            'lote', 3.94, 1.5, 25, 3.4, 6_900, 20_000, 0, 4, 3, 2,
            3.25, 0.65, Advisor(0.2, 0.0023, _OBRAPASE_VALIDITY_S),
            0.45, 3, 0.3,
        ),
        JobKind(
            'reserva', 44.2, 1, 3, 1, 9_900, 20_000, 0.3, 1.5, 0.25, 0,
            0.407, 0.0814, Advisor(0.02, 0.0002, _OBRAPASE_VALIDITY_S),
            0.7, 2, 0.5,
        ),
    ),
    targets=176,
    rack=12,
    callers=38,
    bursts=(Burst('recall', 6, 4, 2), Burst('reserva', 20, 4, 2)),
)  # fmt: skip

# The gangs of the soak, whose advice takes as long as all its callers have, and
# a burst of them as faults leave it.
SLOW_ADVICE = Load(
    (
        JobKind(
            'slow', 1.5, 2, 10, 0.85, 20_000, 1_000, 1, 3, 1, 0,
            1, 0.2, Advisor(1.12, 0.01, _OBRAPASE_VALIDITY_S), 0.2, 2, 0.3,
        ),
        JobKind(
            'quick', 4.5, 1.5, 2.5, 0.85, 8_000, 1_000, 0.2, 3, 1, 0,
            1, 0.2, Advisor(0.005, 0.0001, _OBRAPASE_VALIDITY_S), 1, 2, 0.3,
        ),
    ),
    targets=40,
    rack=_LATAS_RACK_SIZE,
    callers=4,
    bursts=(Burst('slow', 2, 3, 5),),
)  # fmt: skip

_WEIGHTS = (33, 14, 9, 7, 5, 4, 4, 3, 3, 3, 2, 2, 2, 2, 2, 2, 2, 1, 1, 1)

# Bursts that exceed the capacity while the largest customer sends 4.4 times
# its usual.
LAKESHORE = Load(
    (
        JobKind(
            'audit', 2.03, 1.2, 20, 4, 9_000, 9_000, 1, 2.2, 1, 1,
            7.12, 1.42, Advisor(0.544, 0.0049, _VALIDITY_S), 0.3, 3, 0.2,
        ),
        JobKind(
            'recheck', 5.8, 1.5, 25, 2.7, 3_500, 3_600, 0, 4, 3, 2,
            2.69, 0.538, Advisor(0.16, 0.0014, _VALIDITY_S), 0.45, 3, 0.5,
        ),
        JobKind(
            'spot', 30.1, 1, 3.2, 1, 5_000, 7_100, 0.3, 1.5, 0.25, 0,
            0.421, 0.0842, Advisor(0.0176, 0.00016, _VALIDITY_S), 0.7, 4, 0.5,
        ),
    ),
    targets=176, rack=12, callers=35,
    bursts=(
        Burst('recheck', 3, 6, 2.5), Burst('spot', 7, 4, 2),
        Burst('audit', 18, 4, 1.6),
    ),
    rate_swing=0.27, swing_period=11, target_cpus=32_000, target_memory=65_536,
    weights=_WEIGHTS, surge=Surge(0, 7.6, 5.4, 4.4),
)  # fmt: skip

# Waves that reach the capacity, and bursts on them.
KTIMEK = Load(
    (
        JobKind(
            'reval', 2.6, 1.2, 20, 3.4, 4_500, 9_000, 1, 2.2, 1, 1,
            7.36, 1.47, Advisor(0.5, 0.0045, _VALIDITY_S), 0.3, 3, 0.2,
        ),
        JobKind(
            'appeal', 5.42, 1.5, 25, 1.9, 1_700, 3_600, 0, 4, 3, 2,
            2.21, 0.442, Advisor(0.12, 0.001, _VALIDITY_S), 0.45, 3, 0.5,
        ),
        JobKind(
            'check', 38.8, 1, 3.2, 0.85, 2_500, 7_100, 0.3, 1.5, 0.3, 0,
            0.431, 0.0862, Advisor(0.015, 0.00014, _VALIDITY_S), 0.7, 4, 0.5,
        ),
    ),
    targets=176, rack=12, callers=38,
    bursts=(Burst('check', 4, 4, 1.9), Burst('reval', 18, 4, 1.6)),
    target_cpus=16_000, target_memory=65_536,
)  # fmt: skip

LOADS = {
    'lakeshore': LAKESHORE,
    'ktimek': KTIMEK,
    'cuna-grown': CUNA_GROWN,
    'slow-advice': SLOW_ADVICE,
    'latas': LATAS,
    'latas-grown': LATAS_GROWN,
    'obrapase-grown': OBRAPASE_GROWN,
}

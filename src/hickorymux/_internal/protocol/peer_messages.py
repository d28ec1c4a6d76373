"""The registry of messages between routers: type code, mechanism, class.

Type codes are never reused. A router skips messages with unknown type codes.
"""

MESSAGE_REGISTRY: tuple[tuple[int, str, str], ...] = (
    (1, 'membership', 'Heartbeat'),
    (2, 'membership', 'ZoneDigest'),
    (3, 'membership', 'DigestRequest'),
    (10, 'config', 'ConfigRequest'),
    (11, 'config', 'ConfigOffer'),
    (20, 'slot', 'SlotRequest'),
    (21, 'slot', 'SlotRenew'),
    (22, 'slot', 'SlotReturn'),
    (23, 'slot', 'SlotGrant'),
    (24, 'slot', 'SlotHandover'),
    (25, 'slot', 'UpstreamSign'),
    (26, 'slot', 'ColdOffer'),
    (30, 'service', 'ServiceReport'),
    (31, 'service', 'ZoneService'),
    (32, 'service', 'FleetService'),
    (33, 'service', 'ServiceRequest'),
    (40, 'claim', 'ClaimAsk'),
    (41, 'claim', 'ClaimAnswer'),
    (50, 'suspect', 'CrashReport'),
    (51, 'suspect', 'CrashReceipt'),
    (52, 'suspect', 'SuspectCleared'),
    (53, 'suspect', 'TurnRequest'),
    (54, 'suspect', 'TurnGrant'),
    (55, 'suspect', 'TurnEnd'),
    (56, 'suspect', 'PartCrash'),
    (57, 'suspect', 'PartsCleared'),
    (58, 'suspect', 'PartsRefused'),
    (60, 'load', 'LoadReport'),
    (70, 'topic', 'TopicAsk'),
    (71, 'topic', 'TopicPage'),
)

// Structs of the messages in coordination/slot_messages.py, which have the
// same names and document the fields.

struct HeadCustomer {
  1: optional string customer = "",
  2: optional double counter = 0,
  3: optional i32 waiting = 0
}

struct PoolDemand {
  1: optional string pool = "",
  2: optional i32 target = 0,
  3: optional list<HeadCustomer> heads,
  4: optional bool is_urgent = 0
}

struct SlotCount {
  1: optional string upstream = "",
  2: optional i64 slots = 0
}

struct GrantedSlots {
  1: optional string upstream = "",
  2: optional string instance = "",
  3: optional i64 granted = 0,
  4: optional i64 recalled = 0
}

struct SlotRequest {
  1: optional i64 session = 0,
  2: optional i64 sequence = 0,
  3: optional list<PoolDemand> demands
}

struct SlotRenew {
  1: optional i64 session = 0,
  2: optional i64 sequence = 0,
  3: optional bool is_opening = 0,
  4: optional i64 seen = 0,
  5: optional i64 held_total = 0,
  6: optional list<SlotCount> held,
  7: optional list<PoolDemand> demands,
  8: optional bool is_busy_only = 0
}

struct SlotReturn {
  1: optional i64 session = 0,
  2: optional i64 sequence = 0,
  3: optional list<SlotCount> returned,
  4: optional list<PoolDemand> demands
}

struct SlotGrant {
  1: optional i64 session = 0,
  2: optional i64 sequence = 0,
  3: optional i64 epoch = 0,
  4: optional i32 lease_ms = 0,
  5: optional bool is_unknown = 0,
  6: optional i64 base = 0,
  7: optional i64 version = 0,
  8: optional list<GrantedSlots> loans,
  9: optional list<string> short_pools
}

struct HandedLoan {
  1: optional string router_id = "",
  2: optional i64 slots = 0
}

struct SlotHandover {
  1: optional string upstream = "",
  2: optional i64 epoch = 0,
  3: optional string instance = "",
  4: optional i32 limit = 0,
  5: optional list<HandedLoan> loans
}

struct UpstreamSign {
  1: optional string upstream = "",
  2: optional string instance = "",
  3: optional string state = ""
}

struct ColdOffer {
  1: optional string upstream = "",
  2: optional string instance = "",
  3: optional i64 limit = 0
}

// Messages of the counter exchange: service by customer, as columns.

struct ServiceRows {
  1: optional list<i64> customers = [],
  2: optional list<i64> served = [],
  3: optional list<i32> lifted = [],
  4: optional list<i64> lifts = [],
  5: optional list<i32> idle = [],
}

struct ServiceReport {
  1: optional string pool = "",
  2: optional i64 incarnation = 0,
  3: optional ServiceRows rows,
  4: optional list<i64> zone_known = [],
  5: optional i64 floor = 0,
  6: optional i32 term = 0,
  7: optional bool is_complete = 0,
}

struct ZoneService {
  1: optional string pool = "",
  2: optional string zone = "",
  3: optional ServiceRows rows,
  4: optional i64 floor = 0,
  5: optional i32 term = 0,
  6: optional bool is_complete = 0,
}

struct FleetService {
  1: optional string pool = "",
  2: optional i64 incarnation = 0,
  3: optional ServiceRows rows,
  4: optional list<i64> other_zones = [],
  5: optional i64 floor = 0,
  6: optional bool is_complete = 0,
  7: optional i64 recipient = 0,
}

struct ServiceRequest {
  1: optional string pool = "",
  2: optional i32 term = 0,
  3: optional bool is_full = 0,
}

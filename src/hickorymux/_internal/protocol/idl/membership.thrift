// Heartbeats inside an availability zone and digests between zones.

struct Heartbeat {
  1: optional string router_id = "",
  2: optional i64 incarnation = 0,
  3: optional string zone = "",
  4: optional string host = "",
  5: optional i32 port = 0,
  6: optional bool is_leaving = 0,
  7: optional i64 config_version = 0,
}

struct ZoneDigest {
  1: optional string zone = "",
  2: optional i64 digest = 0,
  3: optional list<Heartbeat> members = [],
  4: optional Heartbeat speaker,
}

struct DigestRequest {
  1: optional string zone = "",
}

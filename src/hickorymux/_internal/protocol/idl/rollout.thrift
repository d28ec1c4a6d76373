// Observations and stages of a roll-out. coordination/rollout_messages.py has
// the same names and documents the fields.

struct RolloutReport {
  1: optional string pool = "",
  2: optional string target = "",
  3: optional i64 incarnation = 0,
  4: optional i64 number = 0,
  5: optional i64 elapsed_ms = 0,
  6: optional i32 stage = 0,
  7: optional i64 stream_ms = 0,
  8: optional list<string> routes = [],
  9: optional list<i32> codes = [],
  10: optional list<i64> counts = [],
}

struct RolloutDirective {
  1: optional string pool = "",
  2: optional string target = "",
  3: optional i32 stage = 0,
  4: optional i64 elapsed_ms = 0,
  5: optional i32 pending = 0,
}

// The zone reader passes records of the store on to the routers of its zone.

struct TopicAsk {
  1: optional i64 number = 0,
  2: optional string topic = "",
  3: optional i64 offset = 0,
  4: optional i64 era = -1,
}

struct TopicPage {
  1: optional i64 number = 0,
  2: optional bool is_whole = 0,
  3: optional i64 next_offset = 0,
  4: optional list<string> keys = [],
  5: optional list<binary> values = [],
  6: optional i64 lag_us = 0,
  7: optional i64 era = -1,
}

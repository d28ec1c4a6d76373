// Load that routers have placed on upstreams (fields 2 to 5), and usage by pool
// and customer (fields 6 to 10), each as columns of equal length.
// coordination/load_messages.py has the same names and documents the fields.

struct LoadReport {
  1: optional string zone = "",
  2: optional list<string> upstreams = [],
  3: optional list<i32> running = [],
  4: optional list<i32> unread = [],
  5: optional list<i32> memory = [],
  6: optional list<string> pools = [],
  7: optional list<string> customers = [],
  8: optional list<i64> given = [],
  // Field 9 was the number of waiting requests.
  10: optional list<i64> unmet = [],
  11: optional i32 routers = 0,
}

// Request rates that upstreams have named, as columns of equal length.
struct LimitReport {
  1: optional list<string> upstreams = [],
  2: optional list<i64> milli_per_second = [],
  3: optional list<i64> ages_ms = [],
}

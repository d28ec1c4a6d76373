/* Messages between routers about the configuration in force. */

/* Asks a peer for its snapshot if its version is above known_version. */
struct ConfigRequest {
  1: optional i64 known_version = 0;
}

/* Carries a snapshot of the configuration fold, as JSON under zlib. */
struct ConfigOffer {
  1: optional i64 version = 0;
  2: optional binary snapshot = "";
}

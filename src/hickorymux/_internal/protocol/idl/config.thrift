/* Messages by which routers exchange configuration snapshots. */

/* Asks a peer for its snapshot if its version is above known_version. The
   value -1 stands for no version. */
struct ConfigRequest {
  1: optional i64 known_version = 0;
}

/* Carries a snapshot of the configuration, as JSON compressed with zlib. */
struct ConfigOffer {
  1: optional i64 version = 0;
  2: optional binary snapshot = "";
}

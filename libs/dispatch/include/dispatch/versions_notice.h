#ifndef DISPATCH_VERSIONS_NOTICE_H_
#define DISPATCH_VERSIONS_NOTICE_H_

#include "dispatch/stored_versions.h"

namespace godwit::dispatch {

// Notifies the other routers of the list of software versions that the sender
// has stored.
struct VersionsNotice {
  StoredVersions stored;

  friend bool operator==(const VersionsNotice& a, const VersionsNotice& b) {
    return a.stored == b.stored;
  }
  friend bool operator!=(const VersionsNotice& a, const VersionsNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_VERSIONS_NOTICE_H_

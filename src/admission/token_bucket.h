#ifndef ADMISSION_TOKEN_BUCKET_H_
#define ADMISSION_TOKEN_BUCKET_H_

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// A rate limit with a burst. Not thread safe; `now` never goes backwards.
class TokenBucket {
 public:
  struct Options {
    double per_second = 0;
    double burst = 1;
  };

  TokenBucket(Options bucket_options, Instant now);

  // Changes the rate; what was saved up stays, up to the new burst.
  void SetOptions(Options newest, Instant now);

  // True when one is allowed now, and takes it.
  bool TryTake(Instant now);

  // How long until the next one is allowed.
  Duration Wait(Instant now);

 private:
  void Refill(Instant now);

  Options options;
  double saved;
  Instant refilled_at;
};

}  // namespace acacialug::admission

#endif  // ADMISSION_TOKEN_BUCKET_H_

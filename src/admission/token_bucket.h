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

  // Changes the rate; accumulated tokens stay, up to the new burst.
  void SetOptions(Options newest, Instant now);

  // Takes one token. Returns false when none is available.
  bool TryTake(Instant now);

  // Time until the next token is available.
  Duration Wait(Instant now);

 private:
  void Refill(Instant now);

  Options options;
  double tokens;
  Instant refilled_at;
};

}  // namespace acacialug::admission

#endif  // ADMISSION_TOKEN_BUCKET_H_

// Forwards the digest functions to users of the request library.
#ifndef LIMPETHATCH_REQUEST_DIGEST_H_
#define LIMPETHATCH_REQUEST_DIGEST_H_

#include "limpethatch/process/digest.h"

#endif  // LIMPETHATCH_REQUEST_DIGEST_H_

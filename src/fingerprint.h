/* Fingerprints of the contents of requests.
 *
 * The attempts of one request differ in ids and deadlines, but have the same content.  A
 * fingerprint is a keyed hash of the content.  It identifies equal contents in logs, between
 * daemons and in the store without revealing them.  All daemons of a deployment use the same key,
 * which is kept across restarts.  It is not encryption: anyone with the key can check a guessed
 * content. */
#pragma once

#include "text.h"

typedef struct
{
  guint64 high;
  guint64 low;
} MrFingerprint;

enum
{
  MR_FINGERPRINT_DIGITS = 32,
};

/* Hashes @count texts in this order; the boundaries between them are part of the hash. */
MrFingerprint mr_fingerprint_compute (const MrText *texts, guint count, guint64 key);

/* Lower-case hexadecimal digits with a terminating NUL. */
void mr_fingerprint_write (MrFingerprint fingerprint, char out[MR_FINGERPRINT_DIGITS + 1]);
/* False for any text that mr_fingerprint_write () does not produce. */
bool mr_fingerprint_read (MrText text, MrFingerprint *out);

static inline bool
mr_fingerprint_equal (MrFingerprint a, MrFingerprint b)
{
  return a.high == b.high && a.low == b.low;
}

/* GHashFunc and GEqualFunc for keys that point to fingerprints. */
guint mr_fingerprint_key_hash (gconstpointer key);
gboolean mr_fingerprint_key_equal (gconstpointer a, gconstpointer b);

/* False if the content of the request is not known. */
static inline bool
mr_fingerprint_is_set (MrFingerprint fingerprint)
{
  return fingerprint.high != 0 || fingerprint.low != 0;
}

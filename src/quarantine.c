#include "quarantine.h"

typedef struct
{
  MrFingerprint fingerprint;
  MrEvidence evidence;
} Entry;

struct _MrQuarantine
{
  GHashTable *entries; /* MrFingerprint -> Entry, which contains the key */
};

MrQuarantine *
mr_quarantine_new (void)
{
  MrQuarantine *q = g_new0 (MrQuarantine, 1);
  q->entries =
      g_hash_table_new_full (mr_fingerprint_key_hash, mr_fingerprint_key_equal, NULL, g_free);
  return q;
}

void
mr_quarantine_free (MrQuarantine *q)
{
  if (!q)
    return;
  g_hash_table_unref (q->entries);
  g_free (q);
}

/* TRUE if @a is kept rather than @b: quarantines first, then the most recent.  A total order, so
 * that daemons with the same evidence keep the same entries. */
static bool
S_has_priority (const Entry *a, const Entry *b)
{
  bool a_quarantined = mr_evidence_is_quarantined (&a->evidence);
  bool b_quarantined = mr_evidence_is_quarantined (&b->evidence);
  if (a_quarantined != b_quarantined)
    return a_quarantined;
  if (a->evidence.at != b->evidence.at)
    return a->evidence.at > b->evidence.at;
  if (a->fingerprint.high != b->fingerprint.high)
    return a->fingerprint.high > b->fingerprint.high;
  return a->fingerprint.low > b->fingerprint.low;
}

static const Entry *
S_lowest_priority (const MrQuarantine *q)
{
  const Entry *lowest = NULL;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (!lowest || S_has_priority (lowest, item))
      lowest = item;
  return lowest;
}

bool
mr_quarantine_merge (MrQuarantine *q,
                     MrFingerprint fingerprint,
                     const MrEvidence *evidence,
                     guint32 unix_time,
                     MrFingerprint *dropped)
{
  Entry *known = g_hash_table_lookup (q->entries, &fingerprint);
  if (dropped)
    *dropped = (MrFingerprint){ 0 };
  if (known)
    {
      known->evidence = mr_evidence_merge (&known->evidence, evidence);
      return true;
    }
  if (!mr_evidence_is_relevant (evidence, unix_time))
    return false;
  Entry *entry = g_new (Entry, 1);
  *entry = (Entry){ .fingerprint = fingerprint, .evidence = *evidence };
  if (g_hash_table_size (q->entries) >= MR_QUARANTINE_MAX_CONTENTS)
    {
      const Entry *lowest = S_lowest_priority (q);
      if (S_has_priority (lowest, entry))
        {
          g_free (entry);
          return false;
        }
      if (dropped)
        *dropped = lowest->fingerprint;
      g_hash_table_remove (q->entries, &lowest->fingerprint);
    }
  g_hash_table_insert (q->entries, &entry->fingerprint, entry);
  return true;
}

void
mr_quarantine_remove (MrQuarantine *q, MrFingerprint fingerprint)
{
  g_hash_table_remove (q->entries, &fingerprint);
}

MrEvidence
mr_quarantine_get (const MrQuarantine *q, MrFingerprint fingerprint)
{
  const Entry *entry = g_hash_table_lookup (q->entries, &fingerprint);
  return entry ? entry->evidence : (MrEvidence){ 0 };
}

bool
mr_quarantine_remove_expired (MrQuarantine *q, guint32 unix_time, MrFingerprint *out)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Entry *entry = item;
      if (mr_evidence_is_relevant (&entry->evidence, unix_time))
        continue;
      *out = entry->fingerprint;
      g_hash_table_iter_remove (&iter);
      return true;
    }
  return false;
}

void
mr_quarantine_foreach (const MrQuarantine *q,
                       void (*visit) (MrFingerprint fingerprint,
                                      const MrEvidence *evidence,
                                      void *user),
                       void *user)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, q->entries);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Entry *entry = item;
      visit (entry->fingerprint, &entry->evidence, user);
    }
}

/* merlinringd: entry point of the daemon process. */

#include "daemon.h"
#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_SETTINGS = 2
};

int
main (int argc, char **argv)
{
  MrSettings settings;
  MrStatus status = mr_settings_parse (argc, argv, &settings);
  if (status != MR_OK)
    {
      fprintf (stderr, "merlinringd: %s\n", mr_status_message ());
      mr_settings_clear (&settings);
      return EXIT_SETTINGS;
    }
  if (settings.check_only)
    puts ("settings are valid");
  else
    status = mr_daemon_run (&settings);
  if (status != MR_OK)
    fprintf (stderr, "merlinringd: %s\n", mr_status_message ());
  mr_settings_clear (&settings);
  return status == MR_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

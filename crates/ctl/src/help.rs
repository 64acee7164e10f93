//! Help texts of the commands.

const GENERAL: &str = "\
lacewingrail: settings, jobs and failure domains from the command line

usage: lacewingrail [options] COMMAND ...

commands:
  config init|get|put|dry-run|effective|check   the settings tree
  job submit|list|show|cancel|why|watch         jobs
  domain list|out|in                            failure domains
  worker list                                   workers and the gang members on their accelerators
  guarantee list                                guarantees
  status                                        state of the whole system
  doctor                                        checks of settings, servers, store, workers, clocks

options:
  --server URL        address of a scheduler process, such as http://10.0.0.1:8090; may be
                      repeated, and the next one is tried when one fails (or
                      LACEWINGRAIL_SERVERS, separated by commas)
  --token-file PATH   file with the access token (or LACEWINGRAIL_TOKEN_FILE, LACEWINGRAIL_TOKEN)
  --output FORMAT     table (default) or json
  --author NAME       name recorded with a change (default: $USER)
  --timeout TIME      timeout of one request, such as 10s (default)
  -h, --help          this text, or the help of a command
  -V, --version       version of the program

exit codes: 0 success, 1 rejected or a check failed, 2 invalid command line, 3 no server completed
the command or the outcome is unknown, 4 conflict with a concurrent change

example:
  lacewingrail --server http://10.0.0.1:8090 --token-file operator.token status
";

const CONFIG: &str = "\
usage: lacewingrail config init FILE                      write the first tree
       lacewingrail config get                            print the tree; its version goes to stderr
       lacewingrail config put FILE --if-version N        replace version N of the tree
       lacewingrail config dry-run FILE                   report what a tree would change
       lacewingrail config effective [PATH]               effective values and their origin
       lacewingrail config check FILE                     check a tree without a server

`init` requires a token whose digest is listed under access.operators of FILE.
PATH consists of pairs: region, domain, customer or service, each followed by a name.

examples:
  lacewingrail config get > tree.yaml          # prints \"version 7 by ada\" to stderr
  lacewingrail config dry-run tree.yaml
  lacewingrail config put tree.yaml --if-version 7
  lacewingrail config effective domain/om-north-a/customer/school-groups
";

const JOB: &str = "\
usage: lacewingrail job submit --customer NAME [options] [-- COMMAND ...]
       lacewingrail job submit --file JOB.yaml [--key KEY]
       lacewingrail job list [--customer NAME] [--domain NAME] [--state STATE] [--class CLASS]
                             [--history] [--limit N]
       lacewingrail job show|cancel|why|watch JOB

options of submit:
  --members N          members of the gang, 1 to 64 (default 1)
  --accelerators N     accelerators of each member, 0 to 8 (default 1)
  --adjacency LEVEL    worker, rack (default) or domain
  --class CLASS        urgent, normal (default) or slow
  --declared TIME      expected run time, such as 2h (default 1h)
  --cores N            processor cores of each member
  --memory-mb N        memory of each member in megabytes
  --checkpointable     the job can be checkpointed and moved
  --domain NAME        failure domain the job may run in; may be repeated (default: any)
  --key KEY            idempotency key: a repeated submission returns the first job

`watch` prints each change until the job ends, and exits with 1 unless the job succeeded.

examples:
  lacewingrail job submit --customer school-groups --members 4 --accelerators 8 -- train.sh v3
  lacewingrail job why job-0011223344556677
  lacewingrail --output json job list --state queued
";

const DOMAIN: &str = "\
usage: lacewingrail domain list
       lacewingrail domain out DOMAIN [--watch]     take it out of service: no task starts in it
       lacewingrail domain in DOMAIN [--watch]      return it to service

`out` returns when the domain's scheduler has confirmed, or after 3 s, when all start permissions
have expired. --watch prints the progress until no gang runs (out) or starts are permitted (in).

example:
  lacewingrail domain out om-north-a --watch
";

const SYSTEM: &str = "\
usage: lacewingrail worker list [--domain NAME]
       lacewingrail guarantee list
       lacewingrail status
       lacewingrail doctor [--tree TREE.yaml] [--process PROCESS.yaml]

`doctor` queries every given server, prints one line for each check and exits with 1 if one fails.
The files of --tree and --process are checked locally.

example:
  lacewingrail --server http://10.0.0.1:8090 --server http://10.0.1.1:8090 doctor
";

/// Returns the help text of a command, or the general text if there is none.
pub(crate) fn help_text(topic: &str) -> &'static str {
    match topic {
        "config" => CONFIG,
        "job" => JOB,
        "domain" => DOMAIN,
        "worker" | "guarantee" | "status" | "doctor" => SYSTEM,
        _ => GENERAL,
    }
}

/* Messages between the processes of lagoonvale: one ONC RPC program, served in
   both directions of a TCP connection.  The suffix of a field name is its
   unit.  docs/PROTOCOLS.md explains each procedure.  */

const LVP_NAME_MAX = 128;
const LVP_TEXT_MAX = 1024;
const LVP_BYTES_MAX = 3145728;
const LVP_TASKS_MAX = 990;

typedef opaque lvp_bytes<LVP_BYTES_MAX>;
typedef string lvp_name<LVP_NAME_MAX>;
typedef string lvp_text<LVP_TEXT_MAX>;

struct lvp_sid
{
  unsigned hyper owner;		/* incarnation of the entry that issued it */
  unsigned hyper roster;	/* log offset that fixes the eligible agents */
  unsigned hyper minted_ms;
  unsigned int seq;
  unsigned int addr;		/* IPv4 of the owner, host byte order */
  unsigned int port;
};

struct lvp_size
{
  unsigned int cores;
  unsigned int memory_mb;
  unsigned int accelerators;
};

/* Capacity of an agent's worker; all 0 while the agent holds no lease.  */
struct lvp_room
{
  lvp_size total;
  lvp_size free;
};

enum lvp_role { LVP_ENTRY = 1, LVP_AGENT = 2, LVP_TOOL = 3 };

struct lvp_hello
{
  lvp_role role;
  lvp_name name;
  unsigned hyper incarnation;
  unsigned hyper session;	/* increases with each connection */
  unsigned hyper roster;
};

struct lvp_hello_res
{
  lvp_name name;
  unsigned hyper incarnation;
  lvp_name domain;
  unsigned int slots;
  unsigned hyper joined;	/* log offset of the announcement, 0: none */
  bool leaving;
  lvp_room room;
};

struct lvp_beat
{
  unsigned int queued;		/* tasks waiting for a credit */
  unsigned int entitled;	/* of these, of teams within their share */
  unsigned int urgency;		/* of the most urgent queued task */
  unsigned int work;		/* tasks waiting for worker capacity */
  unsigned hyper roster;
  unsigned hyper rules;
};

struct lvp_beat_res
{
  unsigned int running;
  bool leaving;
  unsigned hyper roster;
};

struct lvp_start
{
  lvp_sid sid;
  unsigned hyper ballot;
  unsigned int index;
  bool credited;		/* spends a credit; false: a baseline policy */
  lvp_name kind;
  lvp_size need;		/* all 0: a request to the minion */
  lvp_bytes payload;
};

enum lvp_status
{
  LVP_OK = 0,			/* ran, output follows */
  LVP_TASK_FAILED = 1,		/* ran, the target reported a failure */
  LVP_NOT_STARTED = 2,		/* refused before start, or tombstoned */
  LVP_FENCED = 3,		/* not started: another owner holds it */
  LVP_LEAVING = 4,		/* not started: the target is leaving */
  LVP_BUSY = 5,			/* not started: no free slot */
  LVP_UNKNOWN = 6		/* may have run: outcome lost */
};

struct lvp_outcome
{
  lvp_status status;
  int credits;			/* credits granted with this reply */
  unsigned int load;		/* running and held tasks at the target */
  unsigned hyper run_ns;
  lvp_bytes output;
};

struct lvp_resolve
{
  lvp_sid sid;
  unsigned hyper ballot;
  unsigned int index;
  bool cancel;			/* stop it if it runs */
};

struct lvp_fence
{
  lvp_sid sid;
  unsigned hyper ballot;
  unsigned int addr;
  unsigned int port;
  bool polite;			/* yield to another adopter */
};

enum lvp_fence_status { LVP_FENCE_OK = 0, LVP_FENCE_HELD = 1,
  LVP_FENCE_EXPIRED = 2, LVP_FENCE_FULL = 3 };

struct lvp_fence_res
{
  lvp_fence_status status;
  unsigned hyper ballot;
  unsigned int addr;
  unsigned int port;
  unsigned int started<LVP_TASKS_MAX>;
};

struct lvp_bind
{
  lvp_name key;
  lvp_sid sid;
  unsigned hyper homes;		/* digest of the home set the sender knows */
  unsigned hyper first_sent_ms;	/* 0: unknown */
};

enum lvp_bind_status { LVP_BIND_OK = 0, LVP_BIND_OTHER = 1,
  LVP_BIND_FRESH = 2, LVP_BIND_VIEW = 3, LVP_BIND_FULL = 4 };

struct lvp_bind_res
{
  lvp_bind_status status;
  lvp_sid sid;
};

enum lvp_op { LVP_SUBMIT = 1, LVP_POLL = 2, LVP_CANCEL = 3 };

struct lvp_forward
{
  lvp_op op;
  lvp_sid sid;
  unsigned int wait_ms;
  unsigned int hops;		/* times it was forwarded */
  lvp_bytes body;
};

struct lvp_forward_res
{
  unsigned int http_status;
  lvp_bytes body;
};

struct lvp_sync_res
{
  bool rules_known;		/* with version 0: none was ever published */
  unsigned hyper rules_version;
  unsigned hyper rules_offset;
  lvp_bytes rules;
  unsigned hyper roster;
  lvp_bytes members;		/* JSON array of membership records */
};

/* Jobs whose tasks declare resources: an agent joins entries, reports the free
   capacity of its backend server, and accepts orders while the entry confirms
   its reports.  See "Chain of leases" in docs/PLATFORM.md.  */

const LVP_ENTRIES_MAX = 256;
const LVP_RUNS_MAX = 4096;
const LVP_LOST_MAX = 256;
const LVP_REMOVED_MAX = 256;
const LVP_PAGE_QUEUES_MAX = 256;
const LVP_DOMAINS_MAX = 256;
const LVP_CANCELS_MAX = 256;
const LVP_ENDS_SOON_MAX = 8;

struct lvp_amount
{
  unsigned int mcores;		/* thousandths of a core */
  unsigned int memory_mb;
  unsigned int accelerators;
};

struct lvp_endpoint
{
  unsigned int addr;		/* IPv4, host byte order */
  unsigned int port;
};

typedef lvp_endpoint lvp_endpoints<LVP_ENTRIES_MAX>;

/* What an entry may order from an agent's backend server.  */
enum lvp_use
{
  LVP_USE_ANY = 0,
  LVP_USE_NOTHING = 1,		/* it fails what it runs */
  LVP_USE_PROBE = 2		/* one task */
};

/* A run that is expected to end, and what that frees.  */
struct lvp_end_soon
{
  unsigned int in_ms;
  lvp_amount frees;
};

struct lvp_report
{
  unsigned hyper stamp_ms;	/* agent's clock; orders echo the newest */
  bool synced;			/* the agent knows every run at its server */
  bool accepting;
  unsigned hyper orders;	/* received on this connection */
  unsigned hyper known;		/* last digest of its list received, or 0 */
  lvp_amount total;
  lvp_amount free;
  unsigned int confirmed_ms;	/* age of the newest report that was answered */
  lvp_use use;
  bool drained;			/* its failure domain is, as far as it knows */
  unsigned int starts_left;	/* that its cold server takes now; UINT32_MAX:
				   no limit */
  unsigned int ratio_permille;	/* actual to declared run time, recent runs */
  unsigned int ratio_runs;	/* runs of this life of the backend server */
  lvp_end_soon soon<LVP_ENDS_SOON_MAX>;	/* the next ones, while the entry waits */
};

struct lvp_report_res
{
  bool hungry;			/* its tasks wait for capacity */
  unsigned hyper digest;	/* of the list of entries here */
  lvp_endpoints entries;	/* empty if the report had this digest */
  unsigned hyper drain_position;	/* that @drained holds at, 0: unknown */
  bool drained;			/* the agent's failure domain is */
};

enum lvp_how
{
  LVP_HOW_DONE = 0,
  LVP_HOW_FAILED = 1,		/* ran, and failed */
  LVP_HOW_STOPPED = 2,		/* ran or may have run, and is stopped */
  LVP_HOW_LAPSED = 3,		/* its lease lapsed, or its server left */
  LVP_HOW_NO_ROOM = 4,		/* never started */
  LVP_HOW_REFUSED = 5,		/* never started: the backend server refused */
  LVP_HOW_OLD = 6,		/* never started: the attempt is too low */
  LVP_HOW_LEAVING = 7,		/* never started */
  LVP_HOW_STALE = 8,		/* never started: the order came too late */
  LVP_HOW_STALLED = 9,		/* stopped: it made no progress */
  LVP_HOW_CRASHED = 10		/* its backend server crashed */
};

struct lvp_end
{
  unsigned hyper run;
  lvp_how how;
  unsigned int ran_ms;
};

typedef lvp_end lvp_end_list<LVP_RUNS_MAX>;

struct lvp_ends
{
  lvp_end_list ends;
  lvp_report report;
};

/* What became of a backend server whose runs are lost.  */
enum lvp_fate
{
  LVP_FATE_CRASHED = 0,
  LVP_FATE_SILENT = 1,		/* it does not answer: not known yet */
  LVP_FATE_SURVIVED = 2		/* it answers again, and had not crashed */
};

/* A run that was lost with its backend server.  */
struct lvp_lost_run
{
  lvp_name task;
  lvp_text queue;
  unsigned int age_ms;		/* see struct crl_run */
  bool executed;		/* see struct crl_run */
  unsigned int presence_permille;	/* of the queue, see struct blk_young */
};

/* Sent to every entry that the agent serves, when it happens or at the join, and
   again once it is known what a silence was; the last started first.  */
struct lvp_loss
{
  unsigned hyper number;	/* rises with each loss seen by the agent */
  lvp_fate fate;
  unsigned int ago_ms;
  lvp_lost_run runs<LVP_LOST_MAX>;
};

struct lvp_join
{
  lvp_name name;
  unsigned hyper incarnation;
  lvp_name service;
  lvp_name domain;
  unsigned hyper entry;		/* incarnation that @runs belong to, or 0 */
  unsigned hyper runs<LVP_RUNS_MAX>;
  lvp_report report;
};

struct lvp_join_res
{
  unsigned hyper incarnation;
  lvp_report_res report;
};

struct lvp_run
{
  unsigned hyper run;		/* unique within the entry's incarnation */
  unsigned int index;
  unsigned int attempt;
};

/* How the backend servers of a service warm up, see struct wmp_params.  */
struct lvp_warmup
{
  unsigned int warmup_ms;
  unsigned int cold_per_ks;
};

struct lvp_order
{
  unsigned hyper stamp_ms;	/* newest stamp of the agent's reports */
  lvp_name job;
  lvp_bytes spec;
  lvp_amount need;		/* of each task */
  unsigned int estimate_ms;
  lvp_run runs<LVP_TASKS_MAX>;
  lvp_text queue;
  unsigned int failure_permille;	/* failure rate of the queue everywhere */
  lvp_warmup warmup;		/* of the agent's service */
};

struct lvp_stop
{
  unsigned hyper runs<LVP_RUNS_MAX>;
};

struct lvp_queue
{
  lvp_text name;
  lvp_text host;
  lvp_text prefix;
  lvp_text service;
  unsigned int priority;
  unsigned int attempts;
  unsigned int timeout_ms;
  unsigned int target_ms;
  unsigned int slack_permille;
  lvp_warmup warmup;
};

struct lvp_config_req
{
  unsigned hyper have;		/* version held here, 0: none */
  unsigned hyper number;	/* of the transfer under way, 0: none */
  lvp_text after;		/* key of the last queue received, or "" */
};

/* A page of a configuration, or of its difference to the version @base.  */
struct lvp_config
{
  unsigned hyper number;	/* version, 0: none known, or busy */
  unsigned hyper base;		/* 0: all queues */
  unsigned hyper digest;	/* of the whole configuration */
  unsigned hyper position;	/* in the store, behind this version; 0: unknown */
  unsigned int body_max;
  unsigned int idle_ms;
  bool more;			/* further queues follow */
  lvp_text removed<LVP_REMOVED_MAX>;	/* keys; all on the first page */
  lvp_queue queues<LVP_PAGE_QUEUES_MAX>;
};

/* The failure domains that operators have drained, see struct drn_domains.  */
struct lvp_drains
{
  unsigned hyper position;
  lvp_name domains<LVP_DOMAINS_MAX>;
};

/* Jobs that callers have cancelled, told to all entries: any may have them.  */
struct lvp_cancels
{
  lvp_name ids<LVP_CANCELS_MAX>;
};

/* Between entries.  */
struct lvp_peer
{
  lvp_endpoint self;
  unsigned hyper incarnation;
  unsigned hyper config;	/* version of the configuration in force */
  bool reading;			/* a newer one is arriving from the store */
  unsigned hyper known;		/* digest of the receiver's list, or 0 */
  unsigned hyper digest;	/* of the list of entries here */
  lvp_endpoints entries;	/* empty if the receiver has it */
  lvp_drains drains;
};

program LVP_PROG
{
  version LVP_V1
  {
    lvp_hello_res LVP_HELLO (lvp_hello) = 1;
    lvp_beat_res LVP_BEAT (lvp_beat) = 2;
    lvp_outcome LVP_START (lvp_start) = 3;
    lvp_outcome LVP_RESOLVE (lvp_resolve) = 4;
    lvp_fence_res LVP_FENCE (lvp_fence) = 5;
    lvp_bind_res LVP_BIND (lvp_bind) = 6;
    void LVP_RETURN (unsigned int) = 7;
    int LVP_GRANT (int) = 8;
    lvp_forward_res LVP_FORWARD (lvp_forward) = 9;
    lvp_sync_res LVP_SYNC (unsigned hyper) = 10;
    void LVP_ROOM (lvp_room) = 11;
    lvp_join_res LVP_JOIN (lvp_join) = 12;
    lvp_report_res LVP_REPORT (lvp_report) = 13;
    lvp_report_res LVP_ENDS (lvp_ends) = 14;
    void LVP_ORDER (lvp_order) = 15;
    void LVP_STOP (lvp_stop) = 16;
    void LVP_HUNGRY (void) = 17;
    lvp_peer LVP_PEER (lvp_peer) = 18;
    /* 19 was a transfer of whole configurations.  */
    lvp_config LVP_CONFIG (lvp_config_req) = 20;
    void LVP_LOSS (lvp_loss) = 21;
    void LVP_CANCEL (lvp_cancels) = 22;
  } = 1;
} = 0x20004c56;

/* Messages between lagoonvale's own processes: one ONC RPC program, served in
   both directions of one TCP connection.  Times are in the unit that the field
   name ends with.  docs/PROTOCOLS.md explains each procedure.  */

const LVP_NAME_MAX = 128;
const LVP_BYTES_MAX = 3145728;
const LVP_TASKS_MAX = 990;

typedef opaque lvp_bytes<LVP_BYTES_MAX>;
typedef string lvp_name<LVP_NAME_MAX>;

struct lvp_sid
{
  unsigned hyper owner;		/* incarnation of the entry that minted it */
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

/* A worker that an agent keeps; all 0 while it holds no lease.  */
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
  unsigned hyper session;	/* rises with each connection */
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
  unsigned int queued;		/* tasks that wait for a credit */
  unsigned int entitled;	/* of these, of teams within their share */
  unsigned int urgency;		/* of the most urgent one that waits */
  unsigned int work;		/* tasks that wait for room at workers */
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
  LVP_FENCE_EXPIRED = 2 };

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
  unsigned hyper homes;		/* digest of the home set, as seen */
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
  unsigned int hops;		/* times it was passed on */
  lvp_bytes body;
};

struct lvp_forward_res
{
  unsigned int http_status;
  lvp_bytes body;
};

struct lvp_sync_res
{
  bool rules_known;		/* version 0: none were ever published */
  unsigned hyper rules_version;
  unsigned hyper rules_offset;
  lvp_bytes rules;
  unsigned hyper roster;
  lvp_bytes members;		/* JSON array of membership records */
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
  } = 1;
} = 0x20004c56;

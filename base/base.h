/*
 * Code shared by all programs: event loop, HTTP servers and client, settings,
 * command line, logging and latency histograms.
 */
#ifndef JD_BASE_H
#define JD_BASE_H

#ifndef H2O_USE_LIBUV
#define H2O_USE_LIBUV 0
#endif
#include <h2o.h>
#include <glib.h>
#include <http_parser.h>
#include <jansson.h>
#include <netinet/in.h>
#include <poll.h>

#include "jacinthdyke.h"

/* ---- loop.c: event loop, one per thread -------------------------------- */

typedef struct JdLoop {
    h2o_loop_t *evloop;
    h2o_timeout_t zero_timeout;      /* fires in the next round of evloop */
    h2o_timeout_entry_t timer_entry; /* runs the timers of `clock` */
    JdClock clock;
    bool is_stopping;
    bool is_busy_polling; /* never sleeps, for timers finer than 1 ms */
    uint64_t round_began_at;
    uint64_t round_wait;      /* longest wait of this round */
    unsigned catch_up_rounds; /* left in which only sockets are read */
    bool has_caught_up; /* they are over, and no round has run timers since */
    void (*on_signal)(void *ctx, int signal);
    void *signal_ctx;
    void (*on_pause)(void *ctx, uint64_t length);
    void *pause_ctx;
} JdLoop;

void JdLoop_Init(JdLoop *lp);
void JdLoop_Finish(JdLoop *lp);
void JdLoop_Run(JdLoop *lp);
void JdLoop_RunOnce(JdLoop *lp, uint64_t max_wait);
void JdLoop_Stop(JdLoop *lp);
void JdLoop_CatchSignals(JdLoop *lp, void (*handler)(void *ctx, int signal),
                         void *ctx);
void JdLoop_ReportPauses(JdLoop *lp,
                         void (*handler)(void *ctx, uint64_t length),
                         void *ctx);
uint64_t JdLoop_WallClock(void);
uint64_t JdLoop_BootClock(void);
JdStatus JdAddress_Parse(const char *text, struct sockaddr_in *out,
                         JdError *err);
JdStatus JdListen(const char *address, int *fd, JdError *err);
void JdSocket_LimitInput(h2o_socket_t *sock, int bytes);
void JdSocket_TrimInput(h2o_socket_t *sock);
size_t JdSocket_Unacked(h2o_socket_t *sock);
uint64_t JdSocket_Acked(h2o_socket_t *sock);
uint64_t JdSocket_Quiet(h2o_socket_t *sock, bool *is_answered);

/* Result of JdSocket_Read where nothing was read. */
typedef enum JdReadEnd {
    JD_READ_AGAIN = -1,  /* nothing has arrived */
    JD_READ_CLOSED = -2, /* the other side has ended the connection */
    JD_READ_RESET = -3,
} JdReadEnd;

ssize_t JdSocket_Read(h2o_socket_t *sock, void *buf, size_t size);

/* ---- memory.c: room for what is held for others ------------------------- */

/* Bytes that belong together count as large above this size. */
#define JD_LARGE_BYTES (64U << 10)

/* What room is taken for.  A class finds none once the room that is kept for
 * the classes above it is reached. */
typedef enum JdMemoryClass {
    JD_MEMORY_FIRST,     /* small; nothing else of the same connection waits */
    JD_MEMORY_FOLLOWING, /* small; behind requests that are not answered */
    JD_MEMORY_LARGE,     /* bodies and frames above JD_LARGE_BYTES */
    JD_MEMORY_CLASS_MAX
} JdMemoryClass;

typedef struct JdMemory {
    size_t limit; /* bytes */
    size_t used;
    /* Something of `n` bytes found no room; it must not give any back before
     * it returns.  May be NULL. */
    void (*short_of)(void *ctx, JdMemoryClass cls, size_t n);
    void *ctx;
} JdMemory;

void JdMemory_ConfigureAllocator(void);
void JdMemory_Init(JdMemory *mm, size_t process_bytes);
void JdMemory_SetProcessBytes(JdMemory *mm, size_t process_bytes);
size_t JdMemory_Room(const JdMemory *mm, JdMemoryClass cls);
size_t JdMemory_ClassLimit(const JdMemory *mm, JdMemoryClass cls);
JdMemoryClass JdMemory_ClassOf(size_t n);
bool JdMemory_Take(JdMemory *mm, JdMemoryClass cls, size_t n);
void JdMemory_TakeAnyway(JdMemory *mm, size_t n);
void JdMemory_Give(JdMemory *mm, size_t n);

/* ---- body.c: shared bodies of requests and answers ---------------------- */

typedef struct JdBody {
    unsigned refs;
    uint8_t *data;
    size_t len;
    size_t capacity; /* of the allocation */
    size_t charged;  /* bytes of room that it has */
    JdMemory *memory;
} JdBody;

JdBody *JdBody_New(JdMemory *mm);
JdBody *JdBody_Own(JdMemory *mm, void *data, size_t len);
JdBody *JdBody_Ref(JdBody *b);
void JdBody_Unref(JdBody *b);
bool JdBody_Reserve(JdBody *b, JdMemoryClass cls, size_t n);
bool JdBody_Append(JdBody *b, const void *data, size_t n);
void JdBody_Clear(JdBody *b);

/* ---- output.c: bytes to be written to a socket -------------------------- */

typedef struct JdOutputPiece JdOutputPiece;

typedef struct JdOutput {
    TAILQ_HEAD(JdOutputPieces, JdOutputPiece) pieces;
    size_t writing; /* number of pieces in the write under way, 0: none */
    size_t size;    /* bytes of all pieces */
    JdMemory *memory;
} JdOutput;

void JdOutput_Init(JdOutput *out, JdMemory *mm);
void JdOutput_Finish(JdOutput *out);
void JdOutput_Append(JdOutput *out, const void *data, size_t n);
void JdOutput_AppendBody(JdOutput *out, JdBody *b);
bool JdOutput_Write(JdOutput *out, h2o_socket_t *sock,
                    h2o_socket_cb on_written);
void JdOutput_Written(JdOutput *out);

/* ---- acceptor.c: listeners with a limit --------------------------------- */

typedef struct JdAcceptorOps {
    /* Takes ownership of a new connection. */
    void (*accepted)(void *ctx, h2o_socket_t *sock);
    /* Closes a connection, or returns false; NULL: those on which nothing
     * comes are shut down. */
    bool (*make_room)(void *ctx);
    /* The kernel buffers little for each of many connections. */
    bool limits_buffers;
} JdAcceptorOps;

typedef struct JdAccepted JdAccepted;

typedef struct JdAcceptor {
    JdLoop *loop;
    h2o_socket_t *listener;                                /* NULL: stopped */
    TAILQ_HEAD(JdAcceptedHead, JdAccepted) accepted_conns; /* open ones */
    void (*accepted)(void *ctx, h2o_socket_t *sock);
    bool (*make_room)(void *ctx);
    bool limits_buffers;
    void *ctx;
    size_t open_count;
    size_t max_open;
    uint64_t rest_count; /* times that the listener rested */
    uint64_t *shed;      /* counts those that were shut down; NULL: nobody */
    JdTimer rest_timer;
} JdAcceptor;

JdStatus JdAcceptor_Init(JdAcceptor *ac, JdLoop *lp, const char *address,
                         const JdAcceptorOps *ops, void *ctx, JdError *err);
void JdAcceptor_Finish(JdAcceptor *ac);

/* ---- httpd.c: HTTP server based on h2o --------------------------------- */

/* Handles a request; it may call JdHttpd_Reply before or after it returns. */
typedef void (*JdHttpHandler)(void *ctx, h2o_req_t *req);

/* An HTTP server for everything but the callers of a node; see JdServer. */
typedef struct JdHttpd {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    JdAcceptor acceptor;
    JdHttpHandler handler;
    void *ctx;
    JdLoop *loop;
} JdHttpd;

JdStatus JdHttpd_Init(JdHttpd *hd, JdLoop *lp, const char *address,
                      size_t max_body, JdHttpHandler handler, void *ctx,
                      JdError *err);
void JdHttpd_Finish(JdHttpd *hd);
void JdHttpd_CloseAfterResponse(JdHttpd *hd);
void JdHttpd_StopAccepting(JdHttpd *hd);
void JdHttpd_SendBody(h2o_req_t *req, const char *body, size_t len);
void JdHttpd_Reply(h2o_req_t *req, int status, const char *type,
                   const char *body, size_t len);
void JdHttpd_ReplyJson(h2o_req_t *req, int status, json_t *js);
void JdHttpd_AddHeader(h2o_req_t *req, const char *name, const char *value);
bool JdHttpd_CopyHeader(const h2o_req_t *req, const char *name, char *buf,
                        size_t size);
bool JdHttpd_WatchDisconnect(const h2o_req_t *req, struct pollfd *pfd);
bool JdHttpd_HasDisconnected(const struct pollfd *pfd);
bool JdHttpd_IsPath(const h2o_req_t *req, const char *path);
bool JdHttpd_IsMethod(const h2o_req_t *req, const char *method);
bool JdHttpd_CopyQueryParam(const h2o_req_t *req, const char *name, char *buf,
                            size_t size);
uint64_t JdHttpd_QueryNumber(const h2o_req_t *req, const char *name,
                             uint64_t fallback);

/* ---- httpc.c: HTTP client ---------------------------------------------- */

/* How a request ended, as far as the client can know. */
typedef enum JdHttpResult {
    JD_HTTP_COMPLETED, /* the complete response was received */
    JD_HTTP_NOT_SENT,  /* no connection in time; nothing was sent */
    /* In the cases below the server may have processed the request. */
    JD_HTTP_DISCONNECTED, /* connection lost after sending */
    JD_HTTP_TIMED_OUT,    /* no complete response within the timeout */
    JD_HTTP_MISMATCHED,   /* the response belongs to another request */
    JD_HTTP_TOO_LARGE,    /* more bytes than allowed, perhaps without end */
    JD_HTTP_RESULT_MAX
} JdHttpResult;

typedef struct JdHttpHeader {
    const char *name;
    size_t name_len;
    const char *value;
    size_t value_len;
} JdHttpHeader;

#define JD_HTTP_HEADERS_MAX 64
/* Statuses of responses; lower ones from 100 on are informational. */
#define JD_HTTP_STATUS_MIN 200
#define JD_HTTP_STATUS_MAX 599

/* Position of a header in JdHeaders.buffer. */
typedef struct JdHeaderSpan {
    size_t name;
    size_t name_len;
    size_t value;
    size_t value_len;
} JdHeaderSpan;

/* Headers of a message that is parsed incrementally; see header.c. */
typedef struct JdHeaders {
    GByteArray *buffer; /* names and values */
    JdHeaderSpan spans[JD_HTTP_HEADERS_MAX];
    size_t count;
    bool last_was_value; /* the last fragment belonged to a value */
    bool is_complete;    /* later fragments are trailers, which are ignored */
} JdHeaders;

void JdHeaders_Init(JdHeaders *hs);
void JdHeaders_Reset(JdHeaders *hs);
void JdHeaders_Finish(JdHeaders *hs);
bool JdHeaders_AppendName(JdHeaders *hs, const char *data, size_t n);
void JdHeaders_AppendValue(JdHeaders *hs, const char *data, size_t n);
size_t JdHeaders_Complete(JdHeaders *hs, JdHttpHeader *out);
bool JdHttpHeader_AreValid(const JdHttpHeader *header, size_t n);
const JdHttpHeader *JdHttpHeader_Find(const JdHttpHeader *header, size_t n,
                                      const char *name);

/* Valid during the callback.  Only `result` counts unless it is
 * JD_HTTP_COMPLETED. */
typedef struct JdHttpResponse {
    JdHttpResult result;
    int status;
    JdHttpHeader header[JD_HTTP_HEADERS_MAX];
    size_t header_count;
    const char *body;
    size_t body_len;
    JdBody *content; /* the same; NULL where there is none */
} JdHttpResponse;

typedef void (*JdHttpCallback)(void *ctx, const JdHttpResponse *resp);

/* A request to send.  JdHttpc_Send copies all of it except `echo_header` and
 * `content`. */
typedef struct JdHttpRequest {
    const char *method;
    const char *path;
    const char *host;    /* Host header; NULL: the server's address */
    const char *headers; /* complete lines that end in CRLF, or NULL */
    const void *body;
    size_t body_len;
    JdBody *content;  /* is sent in place of `body`; gets a reference */
    uint64_t timeout; /* us */
    /* Longest time between two reads once the response has begun, in us.
     * 0: the complete response must arrive within `timeout`. */
    uint64_t read_timeout;
    /* The response must have this header with this value, which tells it from
     * a response to another request.  NULL value: not checked. */
    const char *echo_header;
    const char *echo_value;
} JdHttpRequest;

typedef struct JdHttpCall JdHttpCall;

/* How far a call in progress has come. */
typedef enum JdHttpCallState {
    JD_HTTP_CALL_WAITING,    /* for a connection that others use */
    JD_HTTP_CALL_CONNECTING, /* nothing was sent */
    JD_HTTP_CALL_SENT,
    JD_HTTP_CALL_STATE_MAX
} JdHttpCallState;

/* Result of JdHttpc_Check: whether the server accepted a connection. */
typedef enum JdHttpCheck {
    JD_HTTP_ACCEPTED,
    JD_HTTP_REFUSED,
    JD_HTTP_UNDECIDED, /* not within the time, or no connection was free */
    JD_HTTP_CHECK_MAX
} JdHttpCheck;

typedef void (*JdHttpCheckCallback)(void *ctx, JdHttpCheck result);

/* A client of one server, with a pool of persistent connections. */
typedef struct JdHttpc {
    JdLoop *loop;
    struct sockaddr_in address;
    char host[JD_ADDRESS_MAX];
    size_t max_connections;
    size_t open_count;
    size_t max_response; /* bytes that may arrive for one call */
    size_t max_buffered; /* bytes of all bodies that arrive at a time */
    JdMemory *memory;    /* room for bodies; NULL: no limit */
    size_t buffered;
    uint64_t max_idle_time; /* us for which an idle connection is kept */
    TAILQ_HEAD(JdHttpIdle, Conn) idle;             /* most recent first */
    TAILQ_HEAD(JdHttpWaiting, JdHttpCall) waiting; /* for a connection */
    /* Check under way, one at a time. */
    JdHttpCheckCallback check_callback; /* NULL: none */
    void *check_ctx;
    struct Conn *check_conn; /* NULL: no connection was free */
    JdTimer check_timer;
} JdHttpc;

JdStatus JdHttpc_Init(JdHttpc *hc, JdLoop *lp, const char *address,
                      size_t max_connections, JdError *err);
JdStatus JdHttpc_SetAddress(JdHttpc *hc, const char *address, JdError *err);
void JdHttpc_Finish(JdHttpc *hc);
JdHttpCall *JdHttpc_Send(JdHttpc *hc, const JdHttpRequest *rq,
                         JdHttpCallback callback, void *ctx);
JdHttpCall *JdHttpc_Get(JdHttpc *hc, const char *path, uint64_t timeout,
                        JdHttpCallback callback, void *ctx);
const JdHttpHeader *JdHttpResponse_FindHeader(const JdHttpResponse *resp,
                                              const char *name);
JdHttpCallState JdHttpc_CallState(const JdHttpCall *call);
void JdHttpc_Cancel(JdHttpCall *call);
void JdHttpc_Check(JdHttpc *hc, uint64_t timeout, JdHttpCheckCallback callback,
                   void *ctx);

/* ---- server.c: HTTP/1.1 server for callers, with pipelining ------------ */

typedef struct JdServerConn JdServerConn;
typedef struct JdServerExchange JdServerExchange;

/*
 * A received request.  It stays valid until JdServer_Reply or the
 * `disconnected` callback.
 */
typedef struct JdServerRequest {
    const char *method;
    const char *path; /* with its query; not NUL-terminated */
    size_t path_len;
    JdHttpHeader header[JD_HTTP_HEADERS_MAX];
    size_t header_count;
    JdBody *body;
    void *user_data; /* for the handler */
} JdServerRequest;

/* Why a request is not taken. */
typedef enum JdServerRejection {
    JD_SERVER_NOT_REJECTED,
    JD_SERVER_MALFORMED,
    JD_SERVER_TOO_LARGE,
    JD_SERVER_NO_ROOM,  /* the process holds too much already */
    JD_SERVER_TOO_SLOW, /* it has not arrived in time */
    JD_SERVER_REJECTION_MAX
} JdServerRejection;

/* What is given up where there is no room. */
typedef enum JdServerShed {
    JD_SERVER_SHED_IDLE,       /* a connection that carried nothing */
    JD_SERVER_SHED_UNFINISHED, /* a request that made no progress */
    JD_SERVER_SHED_STALLED,    /* responses that their caller does not take */
    JD_SERVER_SHED_FOLLOWING,  /* requests behind others, not read */
    JD_SERVER_SHED_MAX
} JdServerShed;

typedef struct JdServerOps {
    /* Handles a request, with JdServer_Reply before or after it returns. */
    void (*request)(void *ctx, JdServerRequest *rq);
    /* The caller disconnected before JdServer_Reply. */
    void (*disconnected)(void *ctx, JdServerRequest *rq);
    /* Answers a request that is not taken, before it returns.  The head may be
     * missing.  NULL: a bare status is sent. */
    void (*reject)(void *ctx, JdServerRequest *rq, JdServerRejection why);
    /* Returns for how many us a request, of which only the head has arrived,
     * is of use to its caller.  NULL: unknown. */
    uint64_t (*time_limit)(void *ctx, const JdServerRequest *rq);
    /* Something was given up; may be NULL. */
    void (*shed)(void *ctx, JdServerShed what);
} JdServerOps;

typedef struct JdServer {
    JdLoop *loop;
    JdAcceptor acceptor;
    size_t max_body;
    JdMemory *memory; /* NULL: no limit */
    /* Closes each connection once its pending requests are answered. */
    bool closes_after_response;
    const JdServerOps *ops;
    void *ctx;
    /* All connections, the one without input for longest first. */
    TAILQ_HEAD(JdServerConns, JdServerConn) conns;
    TAILQ_HEAD(JdServerPaused, JdServerConn) paused; /* are not read */
    JdTimer watch_timer;
    uint64_t searched_at; /* last search for room */
    /* Responses that are hardly taken are given up until then, in as far as
     * there is no room for `wanted` bytes; 0: they are not. */
    uint64_t short_until;
    size_t wanted;
    JdTimer shortage_timer;
} JdServer;

bool JdServer_OwesBytes(const JdServer *sv);
bool JdServer_IsFrom(const JdServerRequest *rq,
                     const struct sockaddr_in *address);
JdStatus JdServer_Init(JdServer *sv, JdLoop *lp, const char *address,
                       size_t max_body, const JdServerOps *ops, void *ctx,
                       JdError *err);
void JdServer_CloseAfterResponse(JdServer *sv);
void JdServer_StopAccepting(JdServer *sv);
void JdServer_SetMemory(JdServer *sv, JdMemory *mm);
const JdHttpHeader *JdServer_FindHeader(const JdServerRequest *rq,
                                        const char *name);
void JdServer_Reply(JdServerRequest *rq, int status, const char *headers,
                    const void *body, size_t len);
void JdServer_ReplyBody(JdServerRequest *rq, int status, const char *headers,
                        JdBody *body);
bool JdServer_HasRoom(JdServer *sv, size_t n);
void JdServer_CountShed(JdServer *sv, JdServerShed what);

/* ---- settings.c: settings file ----------------------------------------- */

typedef enum JdSettingType {
    JD_SETTING_STRING,
    JD_SETTING_ADDRESS,
    JD_SETTING_NUMBER,
    JD_SETTING_PRESET,
    JD_SETTING_TYPE_MAX
} JdSettingType;

/* Maps a value in the file to a member of the settings structure. */
typedef struct JdSetting {
    const char *path; /* JSON pointer */
    JdSettingType type;
    bool required;
    size_t offset;  /* of the member in the settings structure */
    size_t size;    /* of the member, for JD_SETTING_STRING */
    json_int_t min; /* for JD_SETTING_NUMBER */
    json_int_t max;
    /* JSON pointers, or NULL: the setting is required if the file has a value
     * at the first, or has none at the second. */
    const char *required_with;
    const char *required_without;
} JdSetting;

unsigned JdSettings_Read(const char *file, const JdSetting *table, size_t n,
                         void *out, JdError *errs, unsigned max_errs);

/* ---- program.c: command line and exit codes ---------------------------- */

int JdProgram_ParseOptions(const char *name, const char *summary,
                           const GOptionEntry *entries, int *argc,
                           char ***argv);
int JdProgram_UsageError(const char *name, const char *text);
int JdProgram_Fail(const char *name, const JdError *err);
int JdProgram_Run(JdLoop *lp);

/* ---- logging.c: structured logs and counters --------------------------- */

/* Decisions and state changes that are logged. */
typedef enum JdLogEvent {
    JD_EVENT_STARTED,
    JD_EVENT_RELOADED,
    JD_EVENT_READY,
    JD_EVENT_VERSION, /* a configuration version was applied */
    JD_EVENT_PARENT,
    JD_EVENT_LEAD,
    JD_EVENT_HEAD,
    JD_EVENT_STORE, /* the store became unreachable or reachable */
    JD_EVENT_MEMBER,
    JD_EVENT_HALTED,
    JD_EVENT_LOG_EXPIRED,
    JD_EVENT_DOCUMENT_REFUSED,
    JD_EVENT_TARGET,
    JD_EVENT_CRASH,   /* the target ended, or a request that ran then */
    JD_EVENT_LANE,    /* a connection to another node ended */
    JD_EVENT_RETRY,   /* an attempt of a request failed and is retried */
    JD_EVENT_REQUEST, /* a request ended, at the node that received it */
    JD_EVENT_WORK,    /* work refused or failed at the node of its target */
    JD_EVENT_DRAINING,
    JD_EVENT_STOPPED,
    JD_EVENT_PAUSED,   /* this process did not run for a while */
    JD_EVENT_QUOTA,    /* of a shard of client accounts, or of one of them */
    JD_EVENT_ROLLOUT,  /* a step of a roll-out was decided or learned */
    JD_EVENT_SHORTAGE, /* no room for what comes from outside */
    JD_EVENT_SPREAD, /* requests begin or cease to leave the failure domain */
    JD_EVENT_FAILED,
    JD_EVENT_MAX
} JdLogEvent;

/* A field of a log line. */
typedef struct JdLogField {
    const char *name; /* lower-case */
    const char *text; /* NULL: the value is `number` */
    int64_t number;
} JdLogField;

#define JD_TEXT(name, value)                                                  \
    {                                                                         \
        name, value, 0                                                        \
    }
#define JD_NUMBER(name, value)                                                \
    {                                                                         \
        name, NULL, (int64_t)(value)                                          \
    }

/*
 * Writes a log line: JD_LOG(event, JD_TEXT(name, value), JD_NUMBER(...), ...).
 * The fields are evaluated once.
 */
#define JD_LOG(event, ...)                                                    \
    JdLogging_Write(event, (const JdLogField[]){__VA_ARGS__},                 \
                    sizeof((const JdLogField[]){__VA_ARGS__}) /               \
                        sizeof(JdLogField))

void JdLogging_Init(const char *program, JdLoop *lp);
void JdLogging_Finish(void);
void JdLogging_Write(JdLogEvent event, const JdLogField *fields, size_t n);
char *JdCounters_Format(const JdCounters *ctr);

/* ---- latency.c: latency histograms ------------------------------------- */

typedef enum JdLatencyKind {
    JD_LATENCY_QUEUE,  /* waiting for a slot of the target */
    JD_LATENCY_TARGET, /* at the target */
    JD_LATENCY_TOTAL,  /* from request to response */
    JD_LATENCY_MAX
} JdLatencyKind;

#define JD_LATENCY_BUCKETS 13

typedef struct JdLatencies {
    GHashTable *series; /* Series by "kind service outcome" */
} JdLatencies;

void JdLatencies_Init(JdLatencies *ls);
void JdLatencies_Record(JdLatencies *ls, JdLatencyKind kind,
                        const char *service, const char *outcome, uint64_t us);
void JdLatencies_Format(const JdLatencies *ls, GString *out);

#endif

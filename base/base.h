/* What the programs share: loop, HTTP server and client, settings, logging. */
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

/* ---- loop.c: one loop on one thread ------------------------------------ */

typedef struct JdLoop {
    h2o_loop_t *evloop;
    h2o_timeout_t zero_timeout; /* of the library, of no length */
    h2o_timeout_entry_t timer_entry;
    JdClock clock;
    bool is_stopping;
    bool is_busy_polling; /* never sleeps, for timers finer than 1 ms */
    void (*on_signal)(void *ctx, int signal);
    void *signal_ctx;
} JdLoop;

void JdLoop_Init(JdLoop *lp);
void JdLoop_Finish(JdLoop *lp);
void JdLoop_Run(JdLoop *lp);
void JdLoop_RunOnce(JdLoop *lp, uint64_t most);
void JdLoop_Stop(JdLoop *lp);
void JdLoop_CatchSignals(JdLoop *lp, void (*fn)(void *ctx, int signal),
                         void *ctx);
uint64_t JdLoop_WallClock(void);
JdStatus JdAddress_Parse(const char *text, struct sockaddr_in *out,
                         JdError *err);
JdStatus JdListen(const char *address, int *fd, JdError *err);

/* ---- httpd.c: HTTP server ---------------------------------------------- */

/* Handles one request; it answers now or later with JdHttpd_Reply. */
typedef void (*JdHttpHandler)(void *ctx, h2o_req_t *req);

typedef struct JdHttpd {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    h2o_socket_t *listener;
    JdHttpHandler handler;
    void *ctx;
    JdLoop *loop;
} JdHttpd;

JdStatus JdHttpd_Init(JdHttpd *hd, JdLoop *lp, const char *address,
                      size_t body_most, JdHttpHandler handler, void *ctx,
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
                             uint64_t otherwise);

/* ---- httpc.c: HTTP client ---------------------------------------------- */

/* What became of a request, as far as its sender can know. */
typedef enum JdHttpResult {
    JD_HTTP_COMPLETED,    /* a whole answer came */
    JD_HTTP_NOT_SENT,     /* no connection; nothing was sent */
    JD_HTTP_DISCONNECTED, /* cut after sending; the effect is unknown */
    JD_HTTP_TIMED_OUT,    /* no whole answer in time; effect unknown */
    JD_HTTP_MISMATCHED,   /* an answer to another request; effect unknown */
    JD_HTTP_RESULT_MAX
} JdHttpResult;

typedef struct JdHttpHeader {
    const char *name;
    size_t name_len;
    const char *value;
    size_t value_len;
} JdHttpHeader;

#define JD_HTTP_HEADERS_MAX 64

/* A header, as offsets into the texts of its set. */
typedef struct JdHeaderSpan {
    size_t name;
    size_t name_len;
    size_t value;
    size_t value_len;
} JdHeaderSpan;

/* header.c: headers of a message that comes in pieces */
typedef struct JdHeaders {
    GByteArray *buffer;
    JdHeaderSpan spans[JD_HTTP_HEADERS_MAX];
    size_t count;
    bool last_was_value; /* the last piece was of a value */
    bool is_complete;    /* the headers are complete */
} JdHeaders;

void JdHeaders_Init(JdHeaders *hs);
void JdHeaders_Reset(JdHeaders *hs);
void JdHeaders_Finish(JdHeaders *hs);
bool JdHeaders_AppendName(JdHeaders *hs, const char *at, size_t n);
void JdHeaders_AppendValue(JdHeaders *hs, const char *at, size_t n);
size_t JdHeaders_Complete(JdHeaders *hs, JdHttpHeader *out);
const JdHttpHeader *JdHttpHeader_Find(const JdHttpHeader *header, size_t n,
                                      const char *name);

typedef struct JdHttpResponse {
    JdHttpResult result;
    int status;
    JdHttpHeader header[JD_HTTP_HEADERS_MAX];
    size_t header_count;
    const char *body;
    size_t body_len;
} JdHttpResponse;

typedef void (*JdHttpCallback)(void *ctx, const JdHttpResponse *ans);

/* One request; all texts are copied when it is sent. */
typedef struct JdHttpRequest {
    const char *method;
    const char *path;
    const char *host;    /* NULL: the server's address */
    const char *headers; /* complete lines that end in CRLF, or NULL */
    const void *body;
    size_t body_len;
    uint64_t timeout; /* us */
    uint64_t
        read_timeout; /* us that may pass between two reads of an answer that
                       * has begun; 0: all of it comes within the timeout */
    const char *echo_header; /* header in which the server repeats `echo` */
    const char *echo_value;  /* NULL: not checked */
} JdHttpRequest;

typedef struct JdHttpCall JdHttpCall;

/* A client of one server, with connections that it keeps alive. */
typedef struct JdHttpc {
    JdLoop *loop;
    struct sockaddr_in address;
    char host[JD_ADDRESS_MAX];
    size_t max_connections; /* connections at a time */
    size_t open_count;
    uint64_t max_idle_time; /* us for which an idle connection is kept */
    TAILQ_HEAD(JdHttpIdle, Conn) idle;             /* last used first */
    TAILQ_HEAD(JdHttpWaiting, JdHttpCall) waiting; /* for a connection */
} JdHttpc;

JdStatus JdHttpc_Init(JdHttpc *hc, JdLoop *lp, const char *address,
                      size_t connections, JdError *err);
JdStatus JdHttpc_SetAddress(JdHttpc *hc, const char *address, JdError *err);
void JdHttpc_Finish(JdHttpc *hc);
JdHttpCall *JdHttpc_Send(JdHttpc *hc, const JdHttpRequest *rq,
                         JdHttpCallback done, void *ctx);
JdHttpCall *JdHttpc_Get(JdHttpc *hc, const char *path, uint64_t timeout,
                        JdHttpCallback done, void *ctx);
const JdHttpHeader *JdHttpResponse_FindHeader(const JdHttpResponse *ans,
                                              const char *name);
void JdHttpc_Cancel(JdHttpCall *call);

/* ---- server.c: HTTP server for callers --------------------------------- */

typedef struct JdServerConn JdServerConn;
typedef struct JdServerExchange JdServerExchange;

/* One request; it is the handler's until it is answered or its caller left. */
typedef struct JdServerRequest {
    const char *method;
    const char *path; /* with its query; not terminated */
    size_t path_len;
    JdHttpHeader header[JD_HTTP_HEADERS_MAX];
    size_t header_count;
    GByteArray *body;
    void *user_data; /* state of the handler */
} JdServerRequest;

typedef struct JdServerOps {
    void (*request)(void *ctx, JdServerRequest *rq);
    /* The caller left before its answer. */
    void (*disconnected)(void *ctx, JdServerRequest *rq);
} JdServerOps;

typedef struct JdServer {
    JdLoop *loop;
    h2o_socket_t *listener;
    size_t max_body;
    bool
        closes_after_response; /* each connection ends with its next answers */
    const JdServerOps *ops;
    void *ctx;
    TAILQ_HEAD(JdServerConns, JdServerConn) conns;
} JdServer;

JdStatus JdServer_Init(JdServer *sv, JdLoop *lp, const char *address,
                       size_t body_most, const JdServerOps *ops, void *ctx,
                       JdError *err);
void JdServer_CloseAfterResponse(JdServer *sv);
void JdServer_StopAccepting(JdServer *sv);
const JdHttpHeader *JdServer_FindHeader(const JdServerRequest *rq,
                                        const char *name);
void JdServer_Reply(JdServerRequest *rq, int status, const char *headers,
                    const void *body, size_t len);

/* ---- settings.c: checked settings -------------------------------------- */

typedef enum JdSettingType {
    JD_SETTING_STRING,
    JD_SETTING_ADDRESS,
    JD_SETTING_NUMBER,
    JD_SETTING_PRESET,
    JD_SETTING_TYPE_MAX
} JdSettingType;

/* One setting: where it stands in the file and where its value goes. */
typedef struct JdSetting {
    const char *path; /* JSON pointer */
    JdSettingType type;
    bool required;
    size_t offset; /* in the settings structure */
    size_t size;   /* of a text */
    json_int_t min;
    json_int_t max;
    const char
        *required_with; /* required where this object stands in the file */
    const char
        *required_without; /* required where it does not; NULL: no matter */
} JdSetting;

unsigned JdSettings_Read(const char *file, const JdSetting *table, size_t n,
                         void *out, JdError *errs, unsigned errs_most);

/* ---- program.c ---------------------------------------------------------- */

int JdProgram_ParseOptions(const char *name, const char *summary,
                           const GOptionEntry *entries, int *argc,
                           char ***argv);
int JdProgram_UsageError(const char *name, const char *text);
int JdProgram_Fail(const char *name, const JdError *err);
int JdProgram_Run(JdLoop *lp);

/* ---- logging.c ---------------------------------------------------------- */

/* Decisions and changes of state that are worth a line. */
typedef enum JdLogEvent {
    JD_EVENT_STARTED,
    JD_EVENT_RELOADED,
    JD_EVENT_READY,
    JD_EVENT_VERSION, /* a version came into force */
    JD_EVENT_PARENT,
    JD_EVENT_LEAD,
    JD_EVENT_HEAD,
    JD_EVENT_STORE, /* the store was lost or is back */
    JD_EVENT_MEMBER,
    JD_EVENT_HALTED,
    JD_EVENT_LOG_EXPIRED,
    JD_EVENT_DOCUMENT_REFUSED, /* a document was refused */
    JD_EVENT_TARGET,
    JD_EVENT_LANE,    /* a connection to another node ended */
    JD_EVENT_RETRY,   /* a try of a request failed, another follows */
    JD_EVENT_REQUEST, /* the end of a request, at the node that took it */
    JD_EVENT_WORK,    /* work that was refused or failed beside its target */
    JD_EVENT_DRAINING,
    JD_EVENT_STOPPED,
    JD_EVENT_FAILED,
    JD_EVENT_MAX
} JdLogEvent;

/* One field of a line. */
typedef struct JdLogField {
    const char *name; /* lower-case */
    const char *text; /* NULL: a number */
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

/* JD_LOG(event, JD_TEXT(...), JD_NUMBER(...)): fields are evaluated once. */
#define JD_LOG(event, ...)                                                    \
    JdLogging_Write(event, (const JdLogField[]){__VA_ARGS__},                 \
                    sizeof((const JdLogField[]){__VA_ARGS__}) /               \
                        sizeof(JdLogField))

void JdLogging_Init(const char *program, JdLoop *lp);
void JdLogging_Finish(void);
void JdLogging_Write(JdLogEvent event, const JdLogField *fields, size_t n);
char *JdCounters_Format(const JdCounters *ctr);

/* ---- latency.c: latency histograms -------------------------------------- */

typedef enum JdLatencyKind {
    JD_LATENCY_QUEUE,  /* until work had a slot */
    JD_LATENCY_TARGET, /* at the target */
    JD_LATENCY_TOTAL,  /* from request to answer */
    JD_LATENCY_MAX
} JdLatencyKind;

#define JD_LATENCY_BUCKETS 13

typedef struct JdLatencies {
    GHashTable *series; /* by kind, service and outcome */
} JdLatencies;

void JdLatencies_Init(JdLatencies *ls);
void JdLatencies_Record(JdLatencies *ls, JdLatencyKind kind,
                        const char *service, const char *outcome, uint64_t us);
void JdLatencies_Format(const JdLatencies *ls, GString *out);

#endif

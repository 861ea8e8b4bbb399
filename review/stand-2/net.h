/* Functions that the stand-ins share: time, sockets, and HTTP messages. */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Longest head of a message that is read, and longest body. */
#define HEAD_MAX 16384
#define BODY_MAX 65536

/* A message as it was read: the head with its empty line, then the body. */
typedef struct Message {
    char head[HEAD_MAX];
    char body[BODY_MAX];
    size_t body_len;
} Message;

/* Bytes of a connection that were read and not used yet. */
typedef struct Stream {
    int fd;
    char buf[HEAD_MAX];
    size_t len;
} Stream;

static inline uint64_t
now_us(void)
{
    struct timeval tv;

    gettimeofday(&tv, NULL);
    return (uint64_t)tv.tv_sec * 1000000 + (uint64_t)tv.tv_usec;
}

static inline void
sleep_us(uint64_t us)
{
    struct timespec ts = {(time_t)(us / 1000000), (long)(us % 1000000) * 1000};

    nanosleep(&ts, NULL);
}

static inline bool
parse_address(const char *text, struct sockaddr_in *out)
{
    char host[64];
    const char *colon = strrchr(text, ':');

    memset(out, 0, sizeof(*out));
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static inline void
set_timeout(int fd, unsigned ms)
{
    struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

/* Connects to an address; returns -1 if that fails. */
static inline int
dial(const char *address, unsigned timeout_ms)
{
    struct sockaddr_in sin;
    int on = 1;
    int fd;

    if (!parse_address(address, &sin)) {
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM, 0);
    set_timeout(fd, timeout_ms);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static inline bool
send_all(int fd, const char *data, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, data, n, MSG_NOSIGNAL);

        if (k <= 0) {
            return false;
        }
        data += k;
        n -= (size_t)k;
    }
    return true;
}

/* Copies the value of a header; returns false if the head has none. */
static inline bool
find_header(const char *head, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);

    for (const char *p = strchr(head, '\n'); p != NULL; p = strchr(p, '\n')) {
        p++;
        if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
            size_t len;

            p += n + 1;
            p += strspn(p, " \t");
            len = strcspn(p, "\r\n");
            snprintf(out, size, "%.*s", (int)len, p);
            return true;
        }
    }
    return false;
}

/* Reads one message with a length.  Returns false if the connection ends or
 * nothing comes in time. */
static inline bool
read_message(Stream *st, Message *msg)
{
    char value[32] = "0";
    size_t head_len, want;
    char *end;

    while ((end = memmem(st->buf, st->len, "\r\n\r\n", 4)) == NULL) {
        ssize_t k;

        if (st->len == sizeof(st->buf)) {
            return false;
        }
        k = recv(st->fd, st->buf + st->len, sizeof(st->buf) - st->len, 0);
        if (k <= 0) {
            return false;
        }
        st->len += (size_t)k;
    }
    head_len = (size_t)(end - st->buf) + 4;
    if (head_len >= sizeof(msg->head)) {
        return false;
    }
    memcpy(msg->head, st->buf, head_len);
    msg->head[head_len] = '\0';
    memmove(st->buf, st->buf + head_len, st->len - head_len);
    st->len -= head_len;
    find_header(msg->head, "content-length", value, sizeof(value));
    want = strtoul(value, NULL, 10);
    if (want >= sizeof(msg->body)) {
        return false;
    }
    msg->body_len = st->len < want ? st->len : want;
    memcpy(msg->body, st->buf, msg->body_len);
    memmove(st->buf, st->buf + msg->body_len, st->len - msg->body_len);
    st->len -= msg->body_len;
    while (msg->body_len < want) {
        ssize_t k =
            recv(st->fd, msg->body + msg->body_len, want - msg->body_len, 0);

        if (k <= 0) {
            return false;
        }
        msg->body_len += (size_t)k;
    }
    msg->body[msg->body_len] = '\0';
    return true;
}

/* Returns the status of a response. */
static inline int
status_of(const Message *msg)
{
    return strlen(msg->head) > 12 ? atoi(msg->head + 9) : 0;
}

#endif

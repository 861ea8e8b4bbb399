/*
 * Stand-in of a client, for the cases of the review: sends a request, or more
 * on one connection, reads the answers, and prints a line for each:
 *
 *   sent-at-us ended-at-us status body-bytes of announced-bytes outcome id
 *
 * Outcome: whole, cut (ended before the announced length), no-answer,
 * not-connected or gave-up (after --timeout-s).
 *
 *   client [OPTION VALUE]... ADDRESS METHOD PATH
 *       --host NAME --id ID --deadline-ms N --timeout-s N
 *       --body N        bytes of the request's body
 *       --data TEXT     the request's body
 *       --credential KEY
 *       --pipeline N    requests that are sent at once; their ids end with
 *                       -1 to -N
 *       --times N       requests on connections of their own, one each
 *       --every-ms N    this time; their ids end with -1 to -N as well
 *       --read-kbps N   KB a second that are read of the answers
 *       --rcvbuf N      size of the socket's receive buffer
 *       --print 1       print the body instead of the line
 */
#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static long long
now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

static int
send_all(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

        if (k <= 0) {
            return -1;
        }
        p += k;
        n -= (size_t)k;
    }
    return 0;
}

/* What is read of the answers, which come in the order of the requests. */
typedef struct Reader {
    int fd, timeout_s, print;
    size_t kbps;         /* KB a second that are read, 0: as fast as it comes */
    long long began_at;  /* of the connection */
    long long paced_at;  /* time of the first byte */
    size_t total;        /* bytes read */
    size_t have;         /* bytes in `buf` */
    char buf[65536];
} Reader;

/* Reads more; returns 1, 0 at the end of the connection, -1 at the timeout. */
static int
read_more(Reader *rd)
{
    long long left = rd->began_at + rd->timeout_s * 1000000LL - now_us();
    struct timeval tv = {left / 1000000, left % 1000000};
    size_t room = sizeof(rd->buf) - 1 - rd->have;
    ssize_t n;

    if (left <= 0) {
        return -1;
    }
    setsockopt(rd->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    n = recv(rd->fd, rd->buf + rd->have,
             rd->kbps > 0 && room > 8192 ? 8192 : room, 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return -1;
    }
    if (n <= 0) {
        return 0;
    }
    if (rd->total == 0) {
        rd->paced_at = now_us();
    }
    rd->have += (size_t)n;
    rd->total += (size_t)n;
    rd->buf[rd->have] = '\0';
    if (rd->kbps > 0) {
        long long due = rd->paced_at + (long long)(rd->total * 1000 / rd->kbps);
        long long now = now_us();

        if (due > now) {
            usleep((useconds_t)(due - now));
        }
    }
    return 1;
}

/* Reads one answer; returns its outcome. */
static const char *
read_answer(Reader *rd, int *status, size_t *got, long long *announced)
{
    char *end;
    int more;

    *status = 0;
    *got = 0;
    *announced = -1;
    while ((end = strstr(rd->buf, "\r\n\r\n")) == NULL) {
        more = read_more(rd);
        if (more <= 0) {
            return more == 0 ? "no-answer" : "gave-up";
        }
    }
    sscanf(rd->buf, "HTTP/1.1 %d", status);
    for (char *p = rd->buf; p < end; p = strstr(p, "\r\n") + 2) {
        if (strncasecmp(p, "content-length:", 15) == 0) {
            *announced = atoll(p + 15);
        }
    }
    rd->have -= (size_t)(end + 4 - rd->buf);
    memmove(rd->buf, end + 4, rd->have + 1);
    for (;;) {
        size_t n = (size_t)*announced - *got;

        n = n < rd->have ? n : rd->have;
        if (rd->print) {
            fwrite(rd->buf, 1, n, stdout);
        }
        *got += n;
        rd->have -= n;
        memmove(rd->buf, rd->buf + n, rd->have + 1);
        if ((long long)*got >= *announced) {
            return "whole";
        }
        more = read_more(rd);
        if (more <= 0) {
            return more == 0 ? "cut" : "gave-up";
        }
    }
}

int
main(int argc, char **argv)
{
    const char *host = "shop.example", *id = "r", *data = NULL;
    const char *key = NULL;
    int deadline_ms = 0, timeout_s = 10, rcvbuf = 0, print = 0, count = 1, i;
    int times = 1, every_ms = 10;
    char own_id[256];
    static Reader rd;
    size_t body = 0, got;
    long long announced, sent_at;
    struct sockaddr_in sin = {.sin_family = AF_INET};
    char head[8192], name[64], chunk[65536], *colon;
    const char *outcome = "no-answer";
    int status = 0, fd, good = 1;

    signal(SIGPIPE, SIG_IGN);
    for (i = 1; i + 1 < argc && argv[i][0] == '-'; i += 2) {
        const char *k = argv[i], *v = argv[i + 1];

        if (strcmp(k, "--host") == 0) host = v;
        if (strcmp(k, "--id") == 0) id = v;
        if (strcmp(k, "--deadline-ms") == 0) deadline_ms = atoi(v);
        if (strcmp(k, "--timeout-s") == 0) timeout_s = atoi(v);
        if (strcmp(k, "--body") == 0) body = (size_t)atoll(v);
        if (strcmp(k, "--data") == 0) data = v;
        if (strcmp(k, "--read-kbps") == 0) rd.kbps = (size_t)atoll(v);
        if (strcmp(k, "--rcvbuf") == 0) rcvbuf = atoi(v);
        if (strcmp(k, "--print") == 0) print = atoi(v);
        if (strcmp(k, "--pipeline") == 0) count = atoi(v);
        if (strcmp(k, "--times") == 0) times = atoi(v);
        if (strcmp(k, "--every-ms") == 0) every_ms = atoi(v);
        if (strcmp(k, "--credential") == 0) key = v;
    }
    if (argc - i != 3 || (colon = strchr(argv[i], ':')) == NULL) {
        fprintf(stderr, "client [OPTION VALUE]... ADDRESS METHOD PATH\n");
        return 2;
    }
    for (int k = 1; times > 1; k++) {
        if (k > times) {
            while (wait(NULL) > 0) {
            }
            return 0;
        }
        if (fork() == 0) {
            snprintf(own_id, sizeof(own_id), "%s-%d", id, k);
            id = own_id;
            break;
        }
        usleep((useconds_t)every_ms * 1000);
    }
    snprintf(name, sizeof(name), "%.*s", (int)(colon - argv[i]), argv[i]);
    inet_pton(AF_INET, name, &sin.sin_addr);
    sin.sin_port = htons((uint16_t)atoi(colon + 1));
    fd = socket(AF_INET, SOCK_STREAM, 0);
    if (rcvbuf > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
    }
    sent_at = now_us();
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
        if (!print) {
            printf("%lld %lld 0 0 of -1 not-connected %s\n", sent_at, now_us(),
                   id);
        }
        return 1;
    }
    if (data != NULL) {
        body = strlen(data);
    }
    for (int k = 1; k <= count; k++) {
        char suffix[16] = "";

        if (count > 1) {
            snprintf(suffix, sizeof(suffix), "-%d", k);
        }
        snprintf(head, sizeof(head),
                 "%s %s HTTP/1.1\r\nHost: %s\r\n"
                 "Jacinthdyke-Request-Id: %s%s\r\n",
                 argv[i + 1], argv[i + 2], host, id, suffix);
        if (key != NULL) {
            sprintf(head + strlen(head), "Jacinthdyke-Credential: %s\r\n",
                    key);
        }
        if (deadline_ms > 0) {
            sprintf(head + strlen(head), "Jacinthdyke-Deadline-Ms: %d\r\n",
                    deadline_ms);
        }
        if (body > 0 || strcmp(argv[i + 1], "POST") == 0) {
            sprintf(head + strlen(head), "Content-Length: %zu\r\n", body);
        }
        strcat(head, "\r\n");
        if (send_all(fd, head, strlen(head)) != 0) {
            break;
        }
        if (data != NULL) {
            send_all(fd, data, body);
            continue;
        }
        memset(chunk, 'x', sizeof(chunk));
        for (size_t n = body; n > 0;) {
            size_t m = n < sizeof(chunk) ? n : sizeof(chunk);

            if (send_all(fd, chunk, m) != 0) {
                break;
            }
            n -= m;
        }
    }
    rd.fd = fd;
    rd.timeout_s = timeout_s;
    rd.print = print;
    rd.began_at = sent_at;
    for (int k = 1; k <= count; k++) {
        outcome = read_answer(&rd, &status, &got, &announced);
        good = good && strcmp(outcome, "whole") == 0 && status >= 200 &&
               status < 300;
        if (!print) {
            printf("%lld %lld %d %zu of %lld %s %s", sent_at, now_us(), status,
                   got, announced, outcome, id);
            if (count > 1) {
                printf("-%d", k);
            }
            printf("\n");
        }
    }
    close(fd);
    return good ? 0 : 1;
}

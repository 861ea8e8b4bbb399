/*
 * Makes one HTTP call and prints the body of its answer.
 *
 * Usage: call METHOD ADDRESS PATH [BODY]; a BODY of "-" is read from standard
 * input.  Ends with 0 if the status is 200.
 */
#include "net.h"

#define TIMEOUT_MS 3000

int
main(int argc, char **argv)
{
    static char body[BODY_MAX], text[BODY_MAX + HEAD_MAX];
    static Message msg;
    static Stream st;
    size_t n = 0;

    if (argc < 4) {
        return 2;
    }
    if (argc > 4 && strcmp(argv[4], "-") == 0) {
        n = fread(body, 1, sizeof(body) - 1, stdin);
    }
    else if (argc > 4) {
        n = (size_t)snprintf(body, sizeof(body), "%s", argv[4]);
    }
    st.fd = dial(argv[2], TIMEOUT_MS);
    if (st.fd < 0) {
        return 1;
    }
    snprintf(text, sizeof(text),
             "%s %s HTTP/1.1\r\nHost: review\r\nConnection: close\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
             argv[1], argv[3], n);
    if (!send_all(st.fd, text, strlen(text)) || !send_all(st.fd, body, n) ||
        !read_message(&st, &msg)) {
        return 1;
    }
    fwrite(msg.body, 1, msg.body_len, stdout);
    return status_of(&msg) == 200 ? 0 : 1;
}

/* Insides of the tree part, shared by its files. */
#ifndef LIBTREE_H
#define LIBTREE_H

#include "jacinthdyke.h"

/* tree.c */
void _JdTree_Send(JdTree *tr, void *peer, Jd__Frame *frame);
void _JdTree_CheckReady(JdTree *tr);
void _JdTree_CheckReading(JdTree *tr);
void _JdTree_Push(JdTree *tr, JdChild *ch);

/* child.c */
JdChild *_JdTree_FindChild(const JdTree *tr, const void *peer);
void _JdTree_RemoveChild(JdTree *tr, JdChild *ch);
void _JdTree_LoseChild(JdTree *tr, JdChild *ch);
void _JdTree_OnJoin(JdTree *tr, void *peer, const Jd__Join *msg);
void _JdTree_BeatChildren(JdTree *tr);

/* beat.c */
size_t _JdTree_ListPath(JdTree *tr, char **out);
const char *_JdTree_RootAdmin(const JdTree *tr);
void _JdTree_SendBeatUp(JdTree *tr);
void _JdTree_SendMoving(JdTree *tr, void *peer);
void _JdTree_SendBeatDown(JdTree *tr, JdChild *ch, bool with_path);
void _JdTree_TellPath(JdTree *tr);
void _JdTree_OnBeatUp(JdChild *ch, const Jd__Beat *msg);

/* uplink.c */
void _JdTree_InitUplinks(JdTree *tr);
void _JdTree_OnAccept(JdTree *tr, void *peer, const Jd__Accept *msg);
void _JdTree_OnRedirect(JdTree *tr, void *peer, const Jd__Redirect *msg);
void _JdTree_OnBeatDown(JdTree *tr, void *peer, const Jd__Beat *msg);
void _JdTree_UplinkClosed(JdTree *tr, void *peer);
void _JdTree_CheckUplink(JdTree *tr);
void _JdTree_Seek(JdTree *tr);
void _JdTree_DropTrial(JdTree *tr);
void _JdTree_Lead(JdTree *tr);

/* candidate.c */
void _JdTree_BuildCandidates(JdTree *tr);
void _JdTree_InsertCandidates(JdTree *tr, const Jd__Redirect *msg);
uint64_t _JdTree_NewestRankAtHome(const JdTree *tr);

/* head.c */
void _JdTree_InitHeads(JdTree *tr);
void _JdTree_ArmVolunteer(JdTree *tr);
void _JdTree_CheckHeads(JdTree *tr);
void _JdTree_Volunteer(JdTree *tr);
void _JdTree_RenewHead(JdTree *tr);

/* news.c */
void _JdTree_InitNews(JdTree *tr);
void _JdTree_AnnounceSelf(JdTree *tr);
void _JdTree_OnMembers(JdTree *tr, void *peer, const Jd__Members *msg);
void _JdTree_SendMembers(JdTree *tr, void *peer, const uint64_t *bucket,
                         size_t buckets);
void _JdTree_FlushNews(JdTree *tr);

#endif
